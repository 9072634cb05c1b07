//! Lists of thousands of endpoints of which a few change.

use std::collections::BTreeMap;
use std::sync::Arc;

use quickcheck::quickcheck;
use teaselshunt_routing::RecentChanges;

quickcheck! {
    /// Whoever knows the list as of some revision and is told the entries that changed since has the list. A change that is
    /// left out would stay unknown: work goes to an endpoint that has left.
    fn what_changed_since_makes_the_list_whole(writes: Vec<(u8, u8)>, from: usize) -> bool {
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
        for id in changes.since(from as u64).expect("all is remembered") {
            match newest.get(&id) {
                Some(&value) => own.insert(id, value),
                None => own.remove(&id),
            };
        }
        own == *newest
    }
}

/// A peer missed more than is remembered, or what came before this instance had the list. It must be given the whole list.
#[test]
fn what_is_not_remembered_is_not_given_in_part() {
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
