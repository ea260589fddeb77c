//! Names on the wire of the platform, which stand in a data file.

pub fn wire(name: &str) -> &'static str {
    let lines = include_str!("wire.txt").lines();
    let mut named = lines.filter_map(|line| line.split_once('='));
    named.find(|(known, _)| *known == name).map_or_else(|| panic!("{name} is not in wire.txt"), |(_, value)| value)
}
