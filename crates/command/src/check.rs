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
    let customers = lists.customers().len();
    let (plans, services) = (lists.plans().len(), lists.services().len());
    let digest = lists.cached_digest();
    if arguments.json() {
        let counts = json!({
            "customers": customers, "digest": digest, "plans": plans, "services": services,
        });
        return Ok(writeln!(console.output, "{counts}")?);
    }
    Ok(writeln!(
        console.output,
        "valid: {customers} customers, {plans} plans, {services} services; digest {digest}"
    )?)
}
