//! Property and example tests of the balance policy.

use filbertflow::coordination::{balance, weight};
use filbertflow::protocol::peer;
use filbertflow::state::{document, ids, record};
use quickcheck::{Arbitrary, Gen};

/// Partition and servers, as input of the policy.
#[derive(Debug, Clone)]
struct Case {
    record: record::PartitionRecord,
    servers: Vec<balance::Server>,
    weights: document::Weights,
    budget: f64,
    moved: Vec<ids::KeyHash>,
}

impl Case {
    fn input(&self) -> balance::Input<'_> {
        balance::Input {
            record: &self.record,
            servers: self.servers.clone(),
            weights: self.weights,
            churn_budget: self.budget,
            base_slices: 64,
            moved: self.moved.clone(),
        }
    }

    /// Applies a plan as if all its moves had completed.
    fn apply(&mut self, plan: &balance::Plan) {
        self.record.slices = balance::reshape(&self.record.slices, plan);
        for m in &plan.moves {
            let slices = self.record.slices.iter_mut();
            for slice in slices.filter(|s| s.start == m.start) {
                slice.owner = Some(m.to);
                slice.target = None;
                slice.version = slice.version.next();
            }
        }
    }

    /// Returns the servers that may receive slices: live ones, without the draining ones if others
    /// are left.
    fn eligible_servers(&self) -> Vec<ids::NodeRef> {
        let live = self.servers.iter().filter(|s| s.live);
        let active: Vec<_> = live.clone().filter(|s| !s.draining).collect();
        if active.is_empty() {
            live.map(|s| s.node).collect()
        } else {
            active.iter().map(|s| s.node).collect()
        }
    }

    /// Returns whether the target or owner of a slice is eligible, so that the slice needn't move.
    fn is_held(&self, slice: &record::Slice) -> bool {
        let eligible_servers = self.eligible_servers();
        let is_eligible =
            |node: Option<ids::NodeRef>| node.is_some_and(|n| eligible_servers.contains(&n));
        is_eligible(slice.target) || is_eligible(slice.owner)
    }

    /// Sets the request rate of each slice by its index, measured over ten seconds.
    fn set_rates(&mut self, rate: impl Fn(usize) -> f64) {
        let starts: Vec<_> = self.record.slices.iter().map(|s| s.start).collect();
        let rates = starts.iter().enumerate().map(|(i, s)| (*s, rate(i)));
        self.servers[0].load.slices = rates.collect();
        self.servers[0].load.seconds = 10.0;
    }

    /// Returns a server's load as a multiple of the mean over all eligible servers.
    fn level(&self, node: ids::NodeRef) -> f64 {
        let parts = weight::parts(&self.input());
        let slices = self.record.slices.iter().zip(parts);
        let load: f64 = slices
            .filter(|(s, _)| s.owner == Some(node))
            .map(|(_, part)| part.load)
            .sum();
        load * self.eligible_servers().len() as f64
    }

    /// Returns the churn of moves, in units of a 64th of the hash space. The minimum for each move
    /// is 0.05, which applies to single keys.
    fn churn(&self, starts: impl Iterator<Item = ids::KeyHash>) -> f64 {
        let width = |start| weight::width(&self.record, self.record.slice_index(start));
        starts.map(|s| (width(s) * 64.0).max(0.05)).sum()
    }

    /// Applies plans until nothing changes any more.
    fn apply_until_stable(&mut self) {
        for _ in 0..200 {
            let plan = balance::plan(&self.input());
            if plan == balance::Plan::default() {
                return;
            }
            self.apply(&plan);
        }
        panic!("no stable state after 200 plans under constant load");
    }
}

fn node(i: usize) -> ids::NodeRef {
    let port = 7000 + u16::try_from(i).expect("the port is in range");
    ids::NodeRef {
        addr: ids::NodeAddr(([127, 0, 0, 1], port).into()),
        incarnation: ids::Incarnation(1),
    }
}

fn server(i: usize) -> balance::Server {
    balance::Server {
        node: node(i),
        domain: format!("ie-east-{}", i % 3),
        live: true,
        draining: false,
        slots: 20,
        load: peer::Load::default(),
    }
}

/// Builds a partition whose slices are assigned to the servers in turn.
fn round_robin(servers: usize, slices: u64) -> Case {
    let mut slices = record::even_slices(slices);
    for (i, s) in slices.iter_mut().enumerate() {
        s.owner = Some(node(i % servers));
    }
    Case {
        record: record::PartitionRecord {
            id: ids::PartitionId::first("walk-listings"),
            epoch: ids::Epoch(1),
            revision: ids::Revision(1),
            coordinator: node(0),
            standbys: Vec::new(),
            servers: Vec::new(),
            slices,
            intent: None,
            writer: record::Writer {
                node: node(0),
                number: 1,
            },
        },
        servers: (0..servers).map(server).collect(),
        weights: document::Weights {
            imbalance: 1.0,
            churn: 1.0,
            unavailable: 1.0,
        },
        budget: 100.0,
        moved: Vec::new(),
    }
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 8 + 1;
        let mut case = round_robin(count, u64::arbitrary(g) % 64 + 1);
        let pick = |g: &mut Gen| {
            let some = u8::arbitrary(g) % 8 > 0;
            some.then(|| node(usize::arbitrary(g) % (count + 2)))
        };
        for slice in &mut case.record.slices {
            slice.owner = pick(g);
            if u8::arbitrary(g) % 8 == 0 {
                slice.target = pick(g);
            }
            if u8::arbitrary(g) % 8 == 0 {
                case.moved.push(slice.start);
            }
        }
        let starts: Vec<_> = case.record.slices.iter().map(|s| s.start).collect();
        for s in &mut case.servers {
            s.live = u8::arbitrary(g) % 4 > 0;
            s.draining = u8::arbitrary(g) % 4 == 0;
            s.slots = u32::from(u8::arbitrary(g) % 40);
            let rates = starts.iter().filter(|_| bool::arbitrary(g));
            let rates: Vec<_> = rates.copied().collect();
            let rates = rates.iter().map(|h| (*h, f64::from(u8::arbitrary(g))));
            s.load.slices = rates.collect();
            s.load.seconds = f64::from(u8::arbitrary(g) % 12);
            if bool::arbitrary(g) {
                let key = ids::KeyHash(u64::arbitrary(g));
                s.load.hot = vec![(key, f64::from(u16::arbitrary(g)))];
            }
        }
        case.weights.imbalance = f64::from(u8::arbitrary(g) % 5);
        case.weights.churn = f64::from(u8::arbitrary(g) % 5);
        case.budget = f64::from(u8::arbitrary(g) % 101);
        case
    }
}

quickcheck::quickcheck! {
    /// Guards against a move to a dead, draining or unknown server, or to the current owner.
    fn moves_name_live_servers_only(case: Case) -> bool {
        let eligible_servers = case.eligible_servers();
        balance::Policy::ALL.iter().all(|policy| {
            let plan = policy.plan(&case.input());
            plan.moves.iter().all(|m| eligible_servers.contains(&m.to) && m.from != Some(m.to))
        })
    }

    /// Guards against optional moves beyond the churn budget, or beside forced moves that use it
    /// up.
    fn churn_budget_is_kept(case: Case) -> bool {
        let plan = balance::plan(&case.input());
        let slices = &case.record.slices;
        let forced = slices.iter().filter(|s| !case.is_held(s)).map(|s| s.start);
        let forced = case.churn(forced);
        let moving = slices.iter().filter(|s| s.target.is_some() && case.is_held(s));
        let moving = moving.map(|s| s.start).filter(|s| !case.moved.contains(s));
        let spent = case.churn(case.moved.iter().copied().chain(moving));
        let left = balance::budget(&case.input()) - spent;
        case.churn(plan.moves.iter().map(|m| m.start)) <= left.max(forced) + 1e-9
    }

    /// Guards against a slice without an eligible owner while an eligible server exists.
    fn every_slice_ends_with_an_owner(case: Case) -> bool {
        let mut after = case.clone();
        let plan = balance::plan(&case.input());
        after.apply(&plan);
        case.eligible_servers().is_empty() || after.record.slices.iter().all(|s| after.is_held(s))
    }

    /// Guards against moving a slice that has moved within the last minute or is still moving,
    /// although its owner or target can keep it.
    fn recently_moved_slices_stay(case: Case) -> bool {
        let plan = balance::plan(&case.input());
        plan.moves.iter().all(|m| {
            let slice = case.record.slices.iter().find(|s| s.start == m.start);
            let must_stay =
                slice.is_some_and(|s| s.target.is_some()) || case.moved.contains(&m.start);
            !must_stay || slice.is_some_and(|s| !case.is_held(s))
        })
    }

    /// Guards against a plan that isn't idempotent.
    fn applying_a_plan_twice_is_stable(case: Case) -> bool {
        let plan = balance::plan(&case.input());
        let mut once = case;
        once.apply(&plan);
        let mut twice = once.clone();
        twice.apply(&plan);
        let owners = |c: &Case| -> Vec<_> {
            c.record.slices.iter().map(|s| (s.start, s.owner, s.target)).collect()
        };
        owners(&once) == owners(&twice)
    }

    /// Guards against plans that keep undoing each other under constant load.
    fn plans_converge(case: Case) -> bool {
        let mut case = case;
        case.moved.clear();
        case.budget = 100.0;
        for slice in &mut case.record.slices {
            slice.target = None;
        }
        case.apply_until_stable();
        balance::plan(&case.input()) == balance::Plan::default()
    }

    /// Guards against an invalid record after slices are split and merged.
    fn reshaped_slices_cover_the_hash_space(case: Case) -> bool {
        let plan = balance::plan(&case.input());
        let mut record = case.record.clone();
        record.slices = balance::reshape(&record.slices, &plan);
        record.slices[0].start == ids::KeyHash(0)
            && record.slices.is_sorted_by(|a, b| a.start < b.start)
    }
}

/// Guards against moves in response to random load differences.
#[test]
fn nothing_moves_within_the_hysteresis() {
    let mut case = round_robin(4, 64);
    case.set_rates(|i| if i % 4 == 0 { 102.0 } else { 100.0 });
    assert_eq!(balance::plan(&case.input()), balance::Plan::default());
}

/// Guards against an overloaded server that keeps all its slices.
#[test]
fn overloaded_server_gives_slices_away() {
    let mut case = round_robin(4, 64);
    case.set_rates(|i| if i % 4 == 0 { 300.0 } else { 100.0 });
    assert!(case.level(node(0)) > 1.5);
    case.apply_until_stable();
    let highest = (0..4).map(|i| case.level(node(i))).fold(0.0, f64::max);
    assert!(highest <= 1.1, "{highest}");
}

/// Guards against a join that moves slices between existing servers.
#[test]
fn join_moves_slices_to_the_new_server_only() {
    let mut case = round_robin(4, 64);
    case.servers.push(server(4));
    let plan = balance::plan(&case.input());
    assert!(!plan.moves.is_empty());
    assert!(plan.moves.len() <= 64 / 5 + 1, "{}", plan.moves.len());
    assert!(plan.moves.iter().all(|m| m.to == node(4)));
}

/// Guards against a lost server that causes moves between other servers, or whose slices overload
/// one of them.
#[test]
fn loss_is_shared_by_the_others() {
    let mut case = round_robin(6, 60);
    case.set_rates(|_| 100.0);
    case.servers[1].live = false;
    case.servers[4].live = false;
    let plan = balance::plan(&case.input());
    let lost = [Some(node(1)), Some(node(4))];
    assert_eq!(plan.moves.len(), 20);
    assert!(plan.moves.iter().all(|m| lost.contains(&m.from)));
    case.apply(&plan);
    for i in [0, 2, 3, 5] {
        let level = case.level(node(i));
        assert!((0.9..1.1).contains(&level), "{level}");
    }
}

/// Guards against a draining server that keeps slices because the churn budget is spent.
#[test]
fn draining_server_gives_up_all() {
    let mut case = round_robin(4, 64);
    case.budget = 0.0;
    case.servers[2].draining = true;
    let plan = balance::plan(&case.input());
    assert_eq!(plan.moves.len(), 16);
    assert!(plan.moves.iter().all(|m| m.from == Some(node(2))));
}

/// Guards against moving all keys of a slice because of one hot key, and against a split slice
/// that isn't merged after the key has cooled down.
#[test]
fn hot_key_is_split_off_and_merged_again() {
    let mut case = round_robin(4, 64);
    let key = ids::KeyHash(case.record.slices[9].start.0 + (1 << 56));
    case.set_rates(|i| if i == 9 { 2000.0 } else { 10.0 });
    case.servers[1].load.hot = vec![(key, 1990.0)];
    let plan = balance::plan(&case.input());
    assert_eq!(plan.splits, [key, ids::KeyHash(key.0 + 1)]);
    case.apply(&plan);
    assert_eq!(case.record.slices.len(), 66);
    let isolated = case.record.slice_at(key).map(|s| s.start);
    assert_eq!(isolated, Some(key));
    case.set_rates(|i| if i == 10 { 1990.0 } else { 10.0 });
    case.apply_until_stable();
    assert_eq!(case.record.slices.len(), 66);
    case.servers[1].load.hot.clear();
    case.set_rates(|_| 10.0);
    case.apply_until_stable();
    assert_eq!(case.record.slices.len(), 64);
}

/// Guards against ignoring the churn weight of the document.
#[test]
fn weight_of_churn_widens_the_hysteresis() {
    let mut case = round_robin(4, 64);
    case.set_rates(|i| if i % 4 == 0 { 125.0 } else { 100.0 });
    case.weights.imbalance = 4.0;
    assert!(!balance::plan(&case.input()).moves.is_empty());
    case.weights.imbalance = 1.0;
    case.weights.churn = 4.0;
    assert!(balance::plan(&case.input()).moves.is_empty());
}

/// Guards against moves in response to a measurement that is too short to be reliable.
#[test]
fn short_measurement_moves_nothing() {
    let mut case = round_robin(4, 64);
    case.set_rates(|i| if i % 4 == 0 { 2.0 } else { 1.0 });
    case.servers[0].load.seconds = 0.25;
    assert_eq!(balance::plan(&case.input()), balance::Plan::default());
    case.servers[0].load.seconds = 60.0;
    assert!(!balance::plan(&case.input()).moves.is_empty());
}

/// Guards against merging a split hot key before its rate has been measured.
#[test]
fn split_is_kept_until_the_load_is_measured_again() {
    let mut case = round_robin(4, 64);
    let key = ids::KeyHash(case.record.slices[9].start.0 + (1 << 56));
    case.set_rates(|i| if i == 9 { 2000.0 } else { 10.0 });
    case.servers[1].load.hot = vec![(key, 1990.0)];
    let plan = balance::plan(&case.input());
    case.apply(&plan);
    case.set_rates(|_| 0.0);
    case.servers[0].load.seconds = 1.0;
    assert_eq!(balance::plan(&case.input()), balance::Plan::default());
}

/// Guards against a joining server that gets no slices because it has no load report yet.
#[test]
fn joining_server_without_a_report_is_filled() {
    let mut case = round_robin(4, 64);
    case.set_rates(|_| 100.0);
    case.servers.push(server(4));
    let plan = balance::plan(&case.input());
    assert!(
        (10..=13).contains(&plan.moves.len()),
        "{}",
        plan.moves.len()
    );
}
