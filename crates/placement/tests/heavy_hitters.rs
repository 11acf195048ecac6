//! The Space-Saving sketch of the busiest keys.

use placement::HeavyHitters;

fn sketch(capacity: usize, counts: &[(&'static str, u64)]) -> HeavyHitters<&'static str> {
    let mut sketch = HeavyHitters::new(capacity);
    for (key, count) in counts {
        sketch.record(key, *count);
    }
    sketch
}

#[track_caller]
fn check(counts: &[(&'static str, u64)], expected: &[(&str, u64, u64)]) {
    let top = sketch(3, counts).top(3);

    let counted: Vec<_> = top.iter().map(|h| (h.key, h.count, h.guaranteed_count())).collect();

    assert_eq!(counted, expected);
}

#[test]
fn counts_are_exact_below_capacity() {
    check(&[], &[]);
    check(&[("a", 1), ("b", 2), ("a", 2)], &[("a", 3, 3), ("b", 2, 2)]);
}

#[test]
fn a_new_key_replaces_the_key_with_the_lowest_count() {
    let counts = [("a", 5), ("b", 2), ("c", 3), ("d", 1)];
    check(&counts, &[("a", 5, 5), ("c", 3, 3), ("d", 3, 1)]);
}

#[test]
fn a_key_with_a_large_share_is_always_found() {
    let mut sketch = HeavyHitters::new(8);
    for i in 0..4_000_u64 {
        let key = if i % 5 == 0 { 0 } else { i };
        sketch.record(&key, 1);
    }
    let top = sketch.top(1);
    assert_eq!((top[0].key, top[0].count >= 800), (0, true));
}

#[test]
fn past_counts_decay() {
    let mut sketch = sketch(3, &[("a", 100), ("b", 1)]);
    sketch.decay();
    sketch.record(&"c", 60);
    let keys: Vec<_> = sketch.top(3).iter().map(|h| (h.key, h.count)).collect();
    assert_eq!(keys, [("c", 60), ("a", 50)]);
}
