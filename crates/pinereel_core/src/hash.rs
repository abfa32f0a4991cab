//! Hashes that are the same on every instance and in every build, for digests, rendezvous hashing and
//! jitter.

use sha2::{Digest as _, Sha256};
use std::fmt;

/// The first 16 bytes of a SHA-256 hash. Used to compare request bodies and lots.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let full = Sha256::digest(bytes);
        let mut short = [0; 16];
        short.copy_from_slice(&full[..16]);
        Self(short)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

/// A 64-bit hash of `bytes`: FNV-1a with the finalizer of [`mix`].
pub fn stable(bytes: &[u8]) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = FNV_OFFSET_BASIS;
    for byte in bytes {
        hash ^= u64::from(*byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    mix(hash)
}

/// The rendezvous (highest random weight) score of `node` for `key`: the node with the highest score
/// owns the key.
pub fn rendezvous(key: u64, node: &str) -> u64 {
    mix(key ^ stable(node.as_bytes()))
}

/// The finalizer of MurmurHash3, which spreads each input bit over all output bits.
pub const fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
