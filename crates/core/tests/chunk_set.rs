//! Chunk sets list and encode their chunks across the boundaries of the words that store them.

use rstest::rstest;
use sequoiahold_core::weights::chunk_set::ChunkSet;

#[rstest]
#[case::empty(70, &[])]
#[case::first(1, &[0])]
#[case::ends_of_words(130, &[0, 63, 64, 127, 128, 129])]
#[case::one_word_empty(200, &[3, 199])]
fn chunks_come_back_in_order(#[case] len: usize, #[case] chunks: &[usize]) {
    let mut set = ChunkSet::new(len);
    chunks.iter().for_each(|chunk| set.insert(*chunk));
    assert_eq!(set.iter().collect::<Vec<_>>(), chunks);
    assert_eq!(ChunkSet::from_bytes(&set.to_bytes(), len), set);
    assert_eq!(set.count(), chunks.len());
}
