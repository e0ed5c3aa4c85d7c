//! Hashes of prompt blocks, by which engines identify them in cache events.

/// Size of a prompt block.
pub const BLOCK_BYTES: usize = 256;

/// Returns a hash per full block of `prompt`, each over the prompt up to the block's end.
///
/// A partial last block has no hash.
pub fn block_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
            u64::from_le_bytes(bytes)
        })
        .collect()
}
