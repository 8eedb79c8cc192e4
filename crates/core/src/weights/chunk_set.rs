//! Bit sets of chunks, indexed by position in a manifest.

const WORD_BITS: usize = 64;

/// A set of chunks of one manifest, one bit per chunk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChunkSet {
    words: Vec<u64>,
    len: usize,
}

impl ChunkSet {
    /// Creates an empty set for a manifest of `len` chunks.
    pub fn new(len: usize) -> Self {
        Self { words: vec![0; len.div_ceil(WORD_BITS)], len }
    }

    /// Decodes a set whose first chunk is the lowest bit of the first byte.
    ///
    /// Bits beyond `len` are ignored and missing bytes read as zero.
    pub fn from_bytes(bytes: &[u8], len: usize) -> Self {
        let mut set = Self::new(len);
        for (i, byte) in bytes.iter().take(len.div_ceil(8)).enumerate() {
            set.words[i / 8] |= u64::from(*byte) << (i % 8 * 8);
        }
        if let Some(last) = set.words.last_mut().filter(|_| !len.is_multiple_of(WORD_BITS)) {
            *last &= (1 << (len % WORD_BITS)) - 1;
        }
        set
    }

    /// Encodes the set in the format that `from_bytes` decodes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = self.words.iter().flat_map(|word| word.to_le_bytes());
        bytes.take(self.len.div_ceil(8)).collect()
    }

    /// Adds a chunk, which must be part of the manifest.
    pub fn insert(&mut self, chunk: usize) {
        self.words[chunk / WORD_BITS] |= 1 << (chunk % WORD_BITS);
    }

    /// Removes a chunk, which must be part of the manifest.
    pub fn remove(&mut self, chunk: usize) {
        self.words[chunk / WORD_BITS] &= !(1 << (chunk % WORD_BITS));
    }

    /// Returns whether the set contains a chunk; `false` for a chunk outside the manifest.
    pub fn contains(&self, chunk: usize) -> bool {
        chunk < self.len && self.words[chunk / WORD_BITS] & (1 << (chunk % WORD_BITS)) != 0
    }

    /// Returns the number of chunks in the set.
    pub fn count(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Returns whether the set contains no chunks.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Adds all chunks of `other`.
    pub fn union_with(&mut self, other: &Self) {
        self.words.iter_mut().zip(&other.words).for_each(|(a, b)| *a |= b);
    }

    /// Removes the chunks that are not in `other`.
    pub fn intersect_with(&mut self, other: &Self) {
        self.words.iter_mut().zip(&other.words).for_each(|(a, b)| *a &= b);
    }

    /// Removes the chunks that are in `other`.
    pub fn subtract(&mut self, other: &Self) {
        self.words.iter_mut().zip(&other.words).for_each(|(a, b)| *a &= !b);
    }

    /// Returns the chunks of this set that are not in `other`.
    pub fn difference(&self, other: &Self) -> Self {
        let mut set = self.clone();
        set.subtract(other);
        set
    }

    /// Iterates over the chunks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.words.iter().enumerate().flat_map(|(i, word)| {
            let remaining = std::iter::successors(Some(*word).filter(|word| *word != 0), |bits| {
                Some(bits & (bits - 1)).filter(|bits| *bits != 0)
            });
            remaining.map(move |bits| i * WORD_BITS + bits.trailing_zeros() as usize)
        })
    }
}
