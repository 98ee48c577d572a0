//! Order of revisions across restores of the store.

use bergamot_ports::{StoreGeneration, StoreRevision};

const fn at(generation: u64, number: u64) -> StoreRevision {
    StoreRevision::new(StoreGeneration(generation), number)
}

#[test]
fn fencing_numbers_do_not_fall_when_a_restore_gives_revisions_out_again() {
    let positions = [
        at(0, 0),
        at(0, 1),
        at(0, 900),
        at(1, 1),
        at(1, 2),
        at(2, 1),
        at(8_191, (1 << 40) - 1),
    ];
    for pair in positions.windows(2) {
        assert!(pair[0] < pair[1], "{pair:?}");
        assert!(pair[0].to_ordinal() < pair[1].to_ordinal(), "{pair:?}");
    }
    let largest = at(u64::MAX, u64::MAX).to_ordinal();
    assert_eq!(largest as f64 as u64, largest, "not exact as a double");
    assert_eq!(at(0, 77).to_ordinal(), 77);
}
