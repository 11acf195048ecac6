//! Detects documents that are nested too deeply before they are parsed.

/// The maximum number of brackets and braces that are open at once. The YAML library allows 128
/// nested values, but reads the whole document before it applies its limit, in a time that grows
/// with the square of the depth: minutes for 200 KB of brackets.
pub const MAX_OPEN_BRACKETS: usize = 256;

/// Returns the line at which more brackets are open than allowed, counted from 1. Brackets in texts
/// and comments count too.
pub fn line_of_excessive_nesting(text: &str) -> Option<usize> {
    let (mut open, mut line) = (0_usize, 1);
    for byte in text.bytes() {
        match byte {
            b'[' | b'{' => open += 1,
            b']' | b'}' => open = open.saturating_sub(1),
            b'\n' => line += 1,
            _ => {}
        }
        if open > MAX_OPEN_BRACKETS {
            return Some(line);
        }
    }
    None
}
