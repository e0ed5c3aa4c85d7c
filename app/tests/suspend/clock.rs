//! Library that tests preload to let the monotonic clock of a process stand still.
//!
//! A suspended instance resumes with a monotonic clock that has not counted the pause, while the
//! boot clock and the wall clock have. No test can suspend its machine, so it pauses the process
//! with a signal and meanwhile adds the length of the pause to the file `SUSPENDED_MS`. The first
//! 8 bytes of the file are subtracted from the monotonic clock, in milliseconds.

use std::ffi::{c_char, c_int, c_long, c_void};
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

#[repr(C)]
pub struct Timespec {
    seconds: i64,
    nanos: i64,
}

unsafe extern "C" {
    fn syscall(number: c_long, ...) -> c_long;
    fn getenv(name: *const c_char) -> *const c_char;
    fn open(path: *const c_char, flags: c_int, ...) -> c_int;
    fn mmap(at: *mut c_void, size: usize, access: c_int, flags: c_int, file: c_int, from: i64) -> *mut c_void;
}

#[cfg(target_arch = "x86_64")]
const CLOCK_GETTIME: c_long = 228;
#[cfg(target_arch = "aarch64")]
const CLOCK_GETTIME: c_long = 113;
const MONOTONIC: c_int = 1;
const READ_ONLY: c_int = 0;
const MAP_READ: c_int = 1;
const MAP_SHARED: c_int = 1;

static PAUSED_MS: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());

/// Returns the length of all pauses so far.
unsafe fn paused_ms() -> u64 {
    let mut mapped = PAUSED_MS.load(Ordering::Acquire);
    if mapped.is_null() {
        let path = unsafe { getenv(c"SUSPENDED_MS".as_ptr()) };
        if path.is_null() {
            return 0;
        }
        let file = unsafe { open(path, READ_ONLY) };
        mapped = unsafe { mmap(std::ptr::null_mut(), 8, MAP_READ, MAP_SHARED, file, 0) }.cast();
        if mapped as isize == -1 {
            return 0;
        }
        PAUSED_MS.store(mapped, Ordering::Release);
    }
    unsafe { (*mapped).load(Ordering::Acquire) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    let result = unsafe { syscall(CLOCK_GETTIME, c_long::from(clock), time) };
    if result == 0 && clock == MONOTONIC {
        let paused = unsafe { paused_ms() } as i64;
        let time = unsafe { &mut *time };
        let nanos = time.nanos - paused % 1_000 * 1_000_000;
        time.seconds -= paused / 1_000 + i64::from(nanos < 0);
        time.nanos = nanos.rem_euclid(1_000_000_000);
    }
    result as c_int
}
