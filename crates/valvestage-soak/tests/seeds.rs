//! The list of seeds of known failures.

use std::path::Path;

use valvestage_soak::FaultKind;
use valvestage_soak::seed_list::read;

#[test]
fn the_seed_list_is_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("seeds.toml");

    let known = read(&file).unwrap();
    assert!(known.iter().all(|known| !known.cause.is_empty()));
    assert!(known.iter().all(|known| (1..=FaultKind::ALL.len()).contains(&known.kinds)));
}
