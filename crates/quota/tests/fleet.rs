//! Ownership of quotas, and when it takes effect.

use bergamot_quota::QuotaFleet;
use bergamot_types::prelude::*;

#[test]
fn a_new_owner_waits_until_no_vm_uses_the_previous_list() {
    let incarnation = UpstreamIncarnation::new(UpstreamId::new("u"), None);
    let domain = FailureDomain::from("east".to_owned());
    let vms = |names: &[&str]| {
        let vms = names
            .iter()
            .map(|name| (domain.clone(), (*name).to_owned()));
        vms.collect::<Vec<_>>()
    };
    let names = ["a", "b", "c"];
    let mut fleet_before = QuotaFleet::new("a".to_owned());
    fleet_before.set_vms(Millis(10_000), vms(&names));
    let owner = fleet_before
        .owner(&incarnation, &domain)
        .expect("some VM owns the quota")
        .to_owned();
    let remaining_names: Vec<&str> = names.into_iter().filter(|name| *name != owner).collect();
    fleet_before.set_vms(Millis(20_000), vms(&remaining_names));
    let new_owner = fleet_before
        .owner(&incarnation, &domain)
        .expect("some VM owns the quota")
        .to_owned();
    let mut fleet = QuotaFleet::new(new_owner);
    fleet.set_vms(Millis(10_000), vms(&names));
    fleet.set_vms(Millis(20_000), vms(&remaining_names));
    assert_eq!(fleet.grants_from(&incarnation, &domain), Millis(22_000));
    // A change that keeps the owner requires no wait.
    fleet.set_vms(Millis(25_000), vms(&[fleet.own_vm()]));
    assert_eq!(fleet.grants_from(&incarnation, &domain), Millis::ZERO);
    let mut restarted = QuotaFleet::new(owner);
    restarted.set_vms(Millis(10_000), vms(&names));
    assert_eq!(restarted.grants_from(&incarnation, &domain), Millis(12_000));
}

#[test]
fn a_quota_is_owned_in_the_failure_domain_of_its_upstream_if_that_has_vms() {
    let mut fleet = QuotaFleet::new("a".to_owned());
    let located_vm =
        |domain: &str, vm: &str| (FailureDomain::from(domain.to_owned()), vm.to_owned());
    let east = FailureDomain::from("east".to_owned());
    fleet.set_vms(
        Millis(1),
        [
            located_vm("east", "a"),
            located_vm("west", "b"),
            located_vm("west", "c"),
        ],
    );
    for number in 0..20 {
        let incarnation = UpstreamIncarnation::new(UpstreamId::new(&format!("u{number}")), None);
        assert_eq!(fleet.owner(&incarnation, &east), Some("a"));
        let south = FailureDomain::from("south".to_owned());
        assert!(fleet.owner(&incarnation, &south).is_some());
    }
    fleet.set_vms(Millis(2), []);
    let incarnation = UpstreamIncarnation::new(UpstreamId::new("u"), None);
    assert_eq!(fleet.owner(&incarnation, &east), None);
}
