//! Tokens and their text.

use engine::chain::Token;

/// Tokens in the vocabulary.
pub const SIZE: u32 = 32 << 10;
/// One draw in so many ends the answer.
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

/// The text of a token.
pub fn text(id: u32) -> String {
    let word = WORDS[id as usize % WORDS.len()];
    format!("{word}{}", id as usize / WORDS.len())
}

/// The token that a draw picks, and whether it ends the answer.
pub fn pick(draw: u64) -> (Token, bool) {
    let id = (draw % u64::from(SIZE)) as u32;
    let end = (draw >> 32).is_multiple_of(DRAWS_PER_END);
    (Token { id, text: text(id) }, end)
}
