//! Guards against a block of another team, weight version, model or position that is accepted as
//! the requested one, against a truncated or modified block that is accepted (I1, I2, I3), and
//! against exports that delay a fetch.

use context::{BLOCK_TOKENS, Capacity, Class, Envelope, Scheduler, Secret, chain, root_digest};
use proptest::prelude::*;
use types::{Model, Team, Weights};

fn secret(team: &str) -> Secret {
    Secret::derive(b"a cluster secret of tests", &Team::from(team))
}

fn prompt(seed: u32, tokens: usize) -> String {
    let words: Vec<String> = (0..tokens).map(|word| format!("w{seed}-{word}")).collect();
    words.join(" ")
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn ids_differ_in_everything_that_the_context_depends_on(seed in any::<u32>(), blocks in 1usize..4) {
        let (model, weights) = (Model::from("captions"), Weights::from("v1"));
        let text = prompt(seed, blocks * BLOCK_TOKENS);
        let ids = chain(&secret("a"), &model, &weights, &text);
        prop_assert_eq!(ids.len(), blocks);
        let changed = text.replacen('w', "x", 1);
        let others = [
            chain(&secret("b"), &model, &weights, &text),
            chain(&secret("a"), &Model::from("poems"), &weights, &text),
            chain(&secret("a"), &model, &Weights::from("v2"), &text),
            // A change of the first token changes the ids of all later blocks as well.
            chain(&secret("a"), &model, &weights, &changed),
        ];
        for other in others {
            prop_assert!(ids.iter().all(|name| !other.contains(name)));
        }
        let longer = format!("{text} and more words");
        prop_assert_eq!(&chain(&secret("a"), &model, &weights, &longer), &ids);
        prop_assert_eq!(root_digest(&secret("a"), &model, &longer), root_digest(&secret("a"), &model, &text));
        prop_assert_ne!(root_digest(&secret("a"), &model, &text), root_digest(&secret("b"), &model, &text));
    }

    #[test]
    fn only_the_complete_unmodified_block_opens(
        payload in proptest::collection::vec(any::<u8>(), 0..300),
        at in any::<proptest::sample::Index>(),
        bit in 0u8..8,
    ) {
        let (model, weights) = (Model::from("captions"), Weights::from("v1"));
        let text = prompt(1, 2 * BLOCK_TOKENS);
        let ids = chain(&secret("a"), &model, &weights, &text);
        let (id, other) = (ids[0].id, ids[1].id);
        let sealed = Envelope::seal(&secret("a"), &id, &payload);
        prop_assert_eq!(Envelope::open(&secret("a"), &id, &sealed), Ok(payload.as_slice()));
        prop_assert!(Envelope::open(&secret("b"), &id, &sealed).is_err(), "foreign");
        prop_assert!(Envelope::open(&secret("a"), &other, &sealed).is_err(), "swapped");
        let stale = chain(&secret("a"), &model, &Weights::from("v2"), &text);
        prop_assert!(Envelope::open(&secret("a"), &stale[0].id, &sealed).is_err(), "stale");
        let mut corrupted = sealed.clone();
        corrupted[at.index(sealed.len())] ^= 1 << bit;
        prop_assert!(Envelope::open(&secret("a"), &id, &corrupted).is_err(), "corrupted");
        let truncated = &sealed[..at.index(sealed.len())];
        prop_assert!(Envelope::open(&secret("a"), &id, truncated).is_err(), "truncated");
        let mut longer = sealed;
        longer.push(0);
        prop_assert!(Envelope::open(&secret("a"), &id, &longer).is_err(), "longer");
    }

    #[test]
    fn the_scheduler_starts_fetches_first_and_loses_none(steps in proptest::collection::vec(0u8..3, 0..300)) {
        let bounds = Capacity { parallel: 2, queued_exports: 5 };
        let mut link = Scheduler::new(bounds);
        let (mut number, mut running, mut waiting) = (0, 0, [Vec::new(), Vec::new()]);
        for step in steps {
            match step {
                2 if running > 0 => {
                    running -= 1;
                    link.finish();
                }
                2 => {}
                class => {
                    number += 1;
                    let urgency = if class == 0 { Class::Fetch } else { Class::Export };
                    waiting[usize::from(class)].push(number);
                    if let Some(dropped) = link.push(urgency, number) {
                        prop_assert_eq!(waiting[1].remove(0), dropped);
                    }
                }
            }
            while let Some(started) = link.start() {
                running += 1;
                let class = usize::from(waiting[0].is_empty());
                prop_assert_eq!(waiting[class].remove(0), started);
            }
            prop_assert!(running <= bounds.parallel);
            prop_assert!(waiting[1].len() <= bounds.queued_exports);
            prop_assert!(running == bounds.parallel || waiting.iter().all(Vec::is_empty));
        }
    }
}

#[test]
fn every_byte_is_verified() {
    let (model, weights) = (Model::from("captions"), Weights::from("v1"));
    let ids = chain(&secret("a"), &model, &weights, &prompt(1, 2 * BLOCK_TOKENS));
    let sealed = Envelope::seal(&secret("a"), &ids[0].id, b"payload");
    for at in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[at] ^= 1;
        let opened = Envelope::open(&secret("a"), &ids[0].id, &changed);
        assert!(opened.is_err(), "byte {at}");
    }
}
