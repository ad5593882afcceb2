//! Compares the methods to repair lists that are outdated or damaged: bytes, round trips and processor time.

use medlarspool_bench::{RepairMethod, RepairTrial};

const CHANGE_COUNTS: [usize; 4] = [1, 10, 100, 1_000];
const CUSTOMER_COUNTS: [usize; 3] = [1_000, 10_000, 100_000];
const SEED: u64 = 7;

fn main() {
    let mut log_beats_whole = true;
    for customer_count in CUSTOMER_COUNTS {
        let trials = CHANGE_COUNTS.map(|change_count| {
            (
                change_count,
                RepairTrial::new(customer_count, change_count, SEED),
            )
        });
        for (change_count, trial) in &trials {
            for method in RepairMethod::ALL {
                let cost = trial.cost(method);
                let name = format!(
                    "{}_{customer_count}_customers_{change_count}_changes",
                    method.name()
                );
                println!("{name}_bytes {} bytes", cost.payload_bytes);
                println!("{name}_round_trips {} count", cost.round_trips);
                println!("{name}_processor {} us", cost.processor_time.as_micros());
            }
            let damaged = RepairTrial::with_damage(customer_count, *change_count, SEED);
            for method in [RepairMethod::Pages, RepairMethod::Whole] {
                let cost = damaged.cost(method);
                let name = format!(
                    "damaged_{}_{customer_count}_customers_{change_count}_entries",
                    method.name()
                );
                println!("{name}_bytes {} bytes", cost.payload_bytes);
                println!("{name}_round_trips {} count", cost.round_trips);
                println!("{name}_processor {} us", cost.processor_time.as_micros());
            }
            // The log must be smaller where at most a tenth of the entries have changed.
            let log_bytes = trial.cost(RepairMethod::DeltaLog).payload_bytes;
            log_beats_whole &= *change_count * 10 > customer_count
                || log_bytes < trial.cost(RepairMethod::Whole).payload_bytes;
        }
    }
    if log_beats_whole {
        println!("bound: held");
    } else {
        println!("bound: missed delta_log_below_whole");
        std::process::exit(1);
    }
}
