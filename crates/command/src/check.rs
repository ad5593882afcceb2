use getopts::Options;
use serde_json::json;

use crate::{
    CommandError, Console,
    arguments::Arguments,
    list_texts::{self, ListTexts},
};

pub(crate) fn add_options(options: &mut Options) {
    list_texts::add_options(options);
}

pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<(), CommandError> {
    arguments.operands::<0>()?;
    let lists = ListTexts::read(arguments)?.parse()?.lists;
    let customer_count = lists.customers().len();
    let (plan_count, service_count) = (lists.plans().len(), lists.services().len());
    let digest = lists.cached_digest();
    if arguments.json() {
        let counts = json!({
            "customers": customer_count, "digest": digest, "plans": plan_count, "services": service_count,
        });
        return Ok(writeln!(console.output, "{counts}")?);
    }
    Ok(writeln!(
        console.output,
        "valid: {customer_count} customers, {plan_count} plans, {service_count} services; digest {digest}"
    )?)
}
