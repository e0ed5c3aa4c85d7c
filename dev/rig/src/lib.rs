//! Real-process rig: separate processes on loopback, open-loop load, faults.
