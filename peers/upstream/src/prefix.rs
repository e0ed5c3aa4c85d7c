//! Hashes of prompt blocks, as engines name them in cache events.

/// Bytes of prompt that one block covers.
pub const BLOCK_BYTES: usize = 256;

/// Hashes each whole block of `prompt` together with everything before it.
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            let mut head = [0; 8];
            head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(head)
        })
        .collect()
}
