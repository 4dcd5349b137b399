//! Numbers as the tables print them.

/// Digits behind which processors may differ, as the order of their sums does.
const SIGNIFICANT_DIGITS: usize = 10;

/// A number with as many digits as tell something, thousands set apart.
pub fn number(value: f64) -> String {
    let value = round_significant(value, SIGNIFICANT_DIGITS);
    if value.fract() == 0.0 {
        return group_thousands(&format!("{:.0}", value + 0.0));
    }
    let digits = match round_significant(value.abs(), 4) {
        size if size >= 100.0 => 0,
        size if size >= 10.0 => 1,
        size if size >= 1.0 => 2,
        size if size >= 0.1 => 3,
        _ => 4,
    };
    let text = format!("{value:.digits$}");
    // Rounded to nothing: without the sign that `-0.0000` would have.
    let text =
        if text.trim_start_matches('-').chars().all(|c| c == '0' || c == '.') { "0".into() } else { text };
    group_thousands(&text)
}

fn round_significant(value: f64, digits: usize) -> f64 {
    format!("{value:.*e}", digits - 1).parse().unwrap_or(value)
}

/// A number that may be absent.
pub fn optional(value: Option<f64>, absent: &str) -> String {
    value.map_or_else(|| absent.to_owned(), number)
}

/// A part as a percentage.
pub fn percent(part: f64) -> String {
    format!("{}%", number(part * 100.0))
}

fn group_thousands(text: &str) -> String {
    let (sign, rest) = text.strip_prefix('-').map_or(("", text), |rest| ("-", rest));
    let (whole, fraction) = rest.split_once('.').map_or((rest, None), |(whole, part)| (whole, Some(part)));
    let mut grouped = String::new();
    for (i, digit) in whole.chars().enumerate() {
        if i > 0 && (whole.len() - i) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let fraction = fraction.map_or_else(String::new, |part| format!(".{part}"));
    format!("{sign}{grouped}{fraction}")
}
