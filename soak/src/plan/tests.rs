//! Tests which faults a seed draws.
use super::draw_faults;
use crate::fault::Fault;
use std::time::Duration;

const RUN_LENGTH: Duration = Duration::from_secs(5);

fn draw_kinds(seed: u64, only: &[Fault], intensity: usize) -> Vec<Fault> {
    let planned = draw_faults(seed, RUN_LENGTH, only, intensity);
    planned.iter().map(|planned| planned.fault).collect()
}

#[test]
fn a_seed_keeps_its_general_faults() {
    // The general faults that seed 5033 draws at intensity 2. They must stay, although the seed also draws faults of own
    // descriptors.
    let expected = "release, reload, brokenreads, burst, failingsockets, shorttransfers, burst, reload, spoiltlists, \
         release, idlecrowd, spoiltlists, release, interrupted, silentwatches, \
         upgrade, signalseries, burst";
    let general: Vec<&str> = draw_kinds(5033, &[], 2)
        .into_iter()
        .filter(|fault| Fault::GENERAL.contains(fault))
        .map(Fault::name)
        .collect();
    assert_eq!(general.join(", "), expected);
}

#[test]
fn each_run_has_faults_of_own_descriptors() {
    for seed in 0..50 {
        for intensity in 1..4 {
            let kinds = draw_kinds(seed, &[], intensity);
            let count = kinds
                .iter()
                .filter(|fault| Fault::OWN_DESCRIPTORS.contains(fault))
                .count();
            assert!(
                [intensity, 2 * intensity].contains(&count),
                "seed {seed}: {kinds:?}"
            );
        }
    }
}

#[test]
fn some_runs_have_a_crowd() {
    let has_crowd = |seed: &u64| draw_kinds(*seed, &[], 2).contains(&Fault::SlowClients);
    let count = (0..50).filter(has_crowd).count();
    assert!((10..40).contains(&count), "{count} of 50");
}

#[test]
fn faults_start_in_the_order_of_the_plan() {
    for seed in 0..50 {
        let planned = draw_faults(seed, RUN_LENGTH, &[], 2);
        assert!(planned.is_sorted_by_key(|planned| planned.start_offset));
    }
}

#[test]
fn only_the_chosen_kinds_are_drawn() {
    let only = [Fault::Registrations, Fault::Restart];
    let mut kinds = draw_kinds(1, &only, 2);
    kinds.sort();
    let [restart, registrations] = [[Fault::Restart; 3], [Fault::Registrations; 3]];
    assert_eq!(kinds, [restart, registrations].concat());
}
