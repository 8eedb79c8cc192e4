//! SHA-256 (FIPS 180-4), which the standard library lacks.

/// Returns the digest of some bytes in hexadecimal digits.
pub fn hex_digest(bytes: &[u8]) -> String {
    let constants = round_constants();
    let mut state: [u32; 8] = [
        0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab,
        0x5be0cd19,
    ];
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend((bytes.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        compress(&mut state, block, &constants);
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}

fn compress(state: &mut [u32; 8], block: &[u8], constants: &[u32; 64]) {
    let mut words = [0_u32; 64];
    for (word, bytes) in words.iter_mut().zip(block.chunks(4)) {
        *word = u32::from_be_bytes(bytes.try_into().unwrap());
    }
    for t in 16..64 {
        let (a, b) = (words[t - 15], words[t - 2]);
        let s0 = a.rotate_right(7) ^ a.rotate_right(18) ^ (a >> 3);
        let s1 = b.rotate_right(17) ^ b.rotate_right(19) ^ (b >> 10);
        words[t] = words[t - 16].wrapping_add(s0).wrapping_add(words[t - 7]).wrapping_add(s1);
    }
    let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = *state;
    for t in 0..64 {
        let s1 = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
        let choice = (e & f) ^ (!e & g);
        let sum = h.wrapping_add(s1).wrapping_add(choice);
        let t1 = sum.wrapping_add(constants[t]).wrapping_add(words[t]);
        let s0 = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
        let t2 = s0.wrapping_add((a & b) ^ (a & c) ^ (b & c));
        (h, g, f, e, d, c, b, a) = (g, f, e, d.wrapping_add(t1), c, b, a, t1.wrapping_add(t2));
    }
    for (word, value) in state.iter_mut().zip([a, b, c, d, e, f, g, h]) {
        *word = word.wrapping_add(value);
    }
}

/// Returns the fractional parts of the cube roots of the first 64 primes.
fn round_constants() -> [u32; 64] {
    let is_prime = |n: &u64| (2..*n).take_while(|d| d * d <= *n).all(|d| n % d != 0);
    let mut primes = (2_u64..).filter(is_prime);
    std::array::from_fn(|_| {
        let scaled = u128::from(primes.next().unwrap()) << 96;
        // The greatest number whose cube is at most `scaled`: the root with 32 fractional bits.
        let (mut low, mut high) = (0_u128, 1 << 36);
        while high - low > 1 {
            let middle = (low + high) / 2;
            if middle * middle * middle <= scaled { low = middle } else { high = middle }
        }
        low as u32
    })
}
