//! The memory that the objects of a view take up: foretold before a change, and the same however the view came about.

use proptest::prelude::*;
use sedgerun_replication::record::{self, RecordType};
use sedgerun_replication::state::{Change, ChangeOutcome, Command, ReplicatedState};
use sedgerun_replication::view::{ExportFields, Transfer, View};
use std::collections::BTreeMap;

fn fields(length: usize) -> ExportFields {
    ExportFields::from([("shard".to_owned(), "3".repeat(length)), ("plan".to_owned(), "even".to_owned())])
}

/// A command on one of a few names, with values of this length.
fn command(kind: u8, name: u8, length: usize) -> Command {
    let (tenant, export) = (format!("t{}", name % 3), format!("e{name}"));
    match kind {
        0 => {
            let exports = (0..length % 4).map(|index| (format!("e{name}-{index}"), fields(length)));
            Command::PutTenant { tenant, exports: exports.collect::<BTreeMap<_, _>>() }
        }
        1 => Command::PutExport { tenant, export, fields: fields(length) },
        2 => Command::DeleteTenant { tenant },
        3 => Command::DeleteExport { tenant, export },
        4 => Command::Ban { backend: format!("s-{name}"), banned: true },
        5 => Command::Ban { backend: format!("s-{name}"), banned: false },
        _ => Command::AllowVoter { head: format!("n{name}"), allowed: length.is_multiple_of(2) },
    }
}

proptest! {
    #[test]
    fn the_memory_of_the_objects_is_foretold_and_does_not_depend_on_the_history(
        steps in prop::collection::vec((0u8..7, 0u8..5, 0usize..200), 1..60)
    ) {
        let mut state = ReplicatedState::default();
        for (number, (kind, name, length)) in steps.into_iter().enumerate() {
            let command = command(kind, name, length);
            let (before, growth) = (state.view.object_bytes(), state.view.growth_by(&command));
            let adds_objects = kind < 2 || kind == 4;
            let outcome = state.apply(&Change { key: number.to_string(), expected_version: None, command });
            let after = state.view.object_bytes();
            if adds_objects && matches!(outcome, ChangeOutcome::Done { .. }) {
                prop_assert_eq!(after.saturating_sub(before), growth);
            } else if !matches!(outcome, ChangeOutcome::Done { .. }) {
                prop_assert_eq!(after, before);
            }
        }
        let stored = record::encode(RecordType::View, &state.view).expect("a record");
        let read: View = record::decode(RecordType::View, &stored).expect("a view");
        prop_assert_eq!(&read, &state.view);
        let mut received = View::default();
        let chunk = state.view.chunk(0, 0, usize::MAX);
        Transfer::default().accept(&mut received, chunk).expect("a transfer");
        prop_assert_eq!(received.object_bytes(), state.view.object_bytes());
    }
}
