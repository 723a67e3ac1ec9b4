//! The vocabulary: tokens, their text and the choice of a token from a draw.

use engine::chain::Token;

/// Number of tokens in the vocabulary.
pub const SIZE: u32 = 32 << 10;
/// Average number of draws until one ends the answer.
pub const DRAWS_PER_END: u64 = 512;

const WORDS: [&str; 32] = [
    " oat",
    " rye",
    " milk",
    " soy",
    " egg",
    " nut",
    " fish",
    " кран",
    " мачта",
    " антенн",
    " 塩",
    " 麦",
    " café",
    " crème",
    " ok",
    " no",
    " swap",
    " flag",
    " menu",
    " site",
    " mast",
    " lock",
    " dry",
    " hot",
    " cold",
    " ≤5",
    " 10µF",
    " ½",
    ".",
    ",",
    "!",
    "\n",
];

/// Returns the text of a token.
pub fn text(id: u32) -> String {
    let word = WORDS[id as usize % WORDS.len()];
    format!("{word}{}", id as usize / WORDS.len())
}

/// Returns the token that a draw selects, and whether it ends the answer.
pub fn pick(draw: u64) -> (Token, bool) {
    let id = (draw % u64::from(SIZE)) as u32;
    let end = (draw >> 32).is_multiple_of(DRAWS_PER_END);
    (Token { id, text: text(id) }, end)
}
