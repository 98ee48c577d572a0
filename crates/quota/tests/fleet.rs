//! Which VM owns which quota, and from when on.

use bergamot_quota::QuotaFleet;
use bergamot_types::prelude::*;

#[test]
fn a_new_owner_waits_until_nobody_goes_by_the_list_before_it() {
    let incarnation = UpstreamIncarnation::new(UpstreamId::new("u"), None);
    let domain = FailureDomain::from("east".to_owned());
    let vms = |names: &[&str]| {
        let vms = names
            .iter()
            .map(|name| (domain.clone(), (*name).to_owned()));
        vms.collect::<Vec<_>>()
    };
    let names = ["a", "b", "c"];
    let mut first = QuotaFleet::new("a".to_owned());
    first.set(Millis(10_000), vms(&names));
    let owner = first
        .owner(&incarnation, &domain)
        .expect("there is one")
        .to_owned();
    let heir_names: Vec<&str> = names.into_iter().filter(|name| *name != owner).collect();
    first.set(Millis(20_000), vms(&heir_names));
    let heir = first
        .owner(&incarnation, &domain)
        .expect("there is one")
        .to_owned();
    let mut fleet = QuotaFleet::new(heir);
    fleet.set(Millis(10_000), vms(&names));
    fleet.set(Millis(20_000), vms(&heir_names));
    assert_eq!(fleet.owns_from(&incarnation, &domain), Millis(22_000));
    // A change that leaves the owner as it was is none to wait for.
    fleet.set(Millis(25_000), vms(&[fleet.own()]));
    assert_eq!(fleet.owns_from(&incarnation, &domain), Millis::ZERO);
    let mut started = QuotaFleet::new(owner);
    started.set(Millis(10_000), vms(&names));
    assert_eq!(started.owns_from(&incarnation, &domain), Millis(12_000));
}

#[test]
fn an_upstream_is_owned_in_its_own_failure_domain_where_that_has_vms() {
    let mut fleet = QuotaFleet::new("a".to_owned());
    let place = |domain: &str, vm: &str| (FailureDomain::from(domain.to_owned()), vm.to_owned());
    let east = FailureDomain::from("east".to_owned());
    fleet.set(
        Millis(1),
        [place("east", "a"), place("west", "b"), place("west", "c")],
    );
    for number in 0..20 {
        let incarnation = UpstreamIncarnation::new(UpstreamId::new(&format!("u{number}")), None);
        assert_eq!(fleet.owner(&incarnation, &east), Some("a"));
        let south = FailureDomain::from("south".to_owned());
        assert!(fleet.owner(&incarnation, &south).is_some());
    }
    fleet.set(Millis(2), []);
    let incarnation = UpstreamIncarnation::new(UpstreamId::new("u"), None);
    assert_eq!(fleet.owner(&incarnation, &east), None);
}
