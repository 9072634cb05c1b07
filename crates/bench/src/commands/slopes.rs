//! `slopes`: measures costs at several sizes of a deployment, for docs/CAPACITY.md.

use gumdrop::Options;
use teaselshunt_bench::{measure_control, measure_decision};

/// Numbers of endpoints: the larger deployment of the first users, two medium sizes, and the size that is
/// expected in two years.
const ENDPOINTS: [usize; 4] = [22, 156, 390, 780];
/// Numbers of instances and endpoints, from the same range of sizes.
const DEPLOYMENTS: [(usize, usize); 4] = [(8, 22), (38, 78), (76, 156), (380, 780)];

#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON lines")]
    json: bool,
}

pub(crate) fn run(arguments: &Arguments) {
    for endpoints in ENDPOINTS {
        let d = measure_decision(endpoints);
        if arguments.json {
            println!("{}", serde_json::to_string(&d).expect("measured costs serialize to JSON"));
        } else {
            println!(
                "decision: {:4} endpoints, {:3} in the pool: choose {:6.2} us, whole request {:6.2} us",
                d.endpoints, d.pool, d.choose_us, d.whole_us
            );
        }
    }
    for (instances, endpoints) in DEPLOYMENTS {
        let g = measure_control(instances, endpoints);
        if arguments.json {
            println!("{}", serde_json::to_string(&g).expect("measured costs serialize to JSON"));
        } else {
            println!(
                "control: {:3} instances, {:3} endpoints: {:5.1} msg/s, {:6.0} B/s, {:.4}% of a core, {:7.0} KB of \
                 memory, a version everywhere in {:?}, relayed from one domain in {:?}",
                g.instances,
                g.endpoints,
                g.messages,
                g.bytes,
                g.core * 100.0,
                g.memory / 1024.0,
                g.spread,
                g.relayed
            );
        }
    }
}
