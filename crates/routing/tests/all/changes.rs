//! The log of changes to a list of thousands of endpoints, of which a few change.

use std::collections::BTreeMap;
use std::sync::Arc;

use quickcheck::quickcheck;
use teaselshunt_routing::RecentChanges;

quickcheck! {
    /// A peer that knows the list as of some revision and is sent the entries that changed since has the
    /// current list. A change that was left out would stay unknown, and work would go to an endpoint that has
    /// left.
    fn changes_since_a_revision_complete_the_list(writes: Vec<(u8, u8)>, from: usize) -> bool {
        let mut changes = RecentChanges::default();
        changes.start_at(0);
        let mut lists = vec![BTreeMap::<Arc<str>, u8>::new()];
        for (step, (id, value)) in writes.into_iter().enumerate() {
            let id: Arc<str> = Arc::from(format!("e-{}", id % 20));
            let mut list = lists[step].clone();
            if value % 4 == 0 { list.remove(&id); } else { list.insert(Arc::clone(&id), value); }
            changes.record(step as u64 + 1, id);
            lists.push(list);
        }
        let from = from % lists.len();
        let (mut own, newest) = (lists[from].clone(), &lists[lists.len() - 1]);
        for id in changes.since(from as u64).expect("the log holds all changes") {
            match newest.get(&id) {
                Some(&value) => own.insert(id, value),
                None => own.remove(&id),
            };
        }
        own == *newest
    }
}

/// A peer missed more changes than the log holds, or changes from before this instance had the list. The log
/// must not return a part of the changes then, since the peer needs a snapshot.
#[test]
fn an_incomplete_log_returns_no_changes() {
    let mut changes = RecentChanges::default();
    assert!(changes.since(3).is_none());
    changes.start_at(5);
    assert!(changes.since(4).is_none());
    assert!(changes.since(5).is_some_and(|ids| ids.is_empty()));
    for revision in 6..20_000 {
        changes.record(revision, Arc::from("e-1"));
    }
    assert!(changes.since(5).is_none());
    assert!(changes.since(19_000).is_some_and(|ids| ids.len() == 1));
}
