//! Writes a bench's figures as CSV and draws its charts as SVG.
//!
//! `cargo bench -p medlarspool-bench --bench convergence | tee convergence.txt`, then
//! `cargo run -p medlarspool-bench --bin draw-report -- convergence.txt docs/figures`.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use medlarspool_bench::{CurveChart, CurvePoint, CurveSeries, FigureFile};

const DEPLOYMENTS: [&str; 2] = ["atlas", "trust"];
const LOADS_PERCENT: [f64; 5] = [50.0, 80.0, 100.0, 150.0, 300.0];
const POLICIES: [&str; 2] = ["baseline", "chosen"];

fn main() -> ExitCode {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(Into::into).collect();
    let [output, directory] = arguments.as_slice() else {
        eprintln!("usage: draw-report OUTPUT-OF-A-BENCH FOLDER");
        return ExitCode::from(2);
    };
    match draw(output, directory) {
        Ok(written) => {
            println!("wrote {}", written.join(" "));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("draw-report: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Writes the figures and all charts that have points; returns the paths of the written files.
fn draw(output: &Path, directory: &Path) -> Result<Vec<String>, String> {
    let file_error = |error: std::io::Error| format!("`{}`: {error}", output.display());
    let figures = FigureFile::parse(&fs::read_to_string(output).map_err(file_error)?);
    if figures.is_empty() {
        return Err(format!("`{}` holds no figures", output.display()));
    }
    let name = output.file_stem().unwrap_or_default().to_string_lossy();
    fs::create_dir_all(directory).map_err(file_error)?;
    let csv = directory.join(format!("{name}.csv"));
    fs::write(&csv, figures.csv()).map_err(file_error)?;
    let mut written = vec![csv.display().to_string()];
    for (chart_name, chart) in charts(&figures) {
        if chart.series.iter().all(|series| series.points.is_empty()) {
            continue;
        }
        let path = directory.join(format!("{chart_name}.svg"));
        chart.draw(&path)?;
        written.push(path.display().to_string());
    }
    Ok(written)
}

fn charts(figures: &FigureFile) -> Vec<(String, CurveChart)> {
    let mut charts = vec![("convergence".to_owned(), convergence_chart(figures))];
    for deployment in DEPLOYMENTS {
        charts.push((
            format!("load-{deployment}"),
            load_chart(figures, deployment),
        ));
    }
    charts
}

/// Returns the chart of convergence against control bytes, with a line for each digest interval and a point for
/// each fan-out.
fn convergence_chart(figures: &FigureFile) -> CurveChart {
    let series_of = |digest_ms: &str| {
        let end = format!("_digest_{digest_ms}_ms_steady_peer_bytes");
        let points = figures
            .matching("curve_fan_out_", &end)
            .filter_map(|(fan_out, bytes)| {
                let point =
                    format!("curve_fan_out_{fan_out}_digest_{digest_ms}_ms_one_change_99_in_100");
                Some(CurvePoint {
                    label: format!("fan-out {fan_out}"),
                    x: bytes,
                    y: figures.value(&point)?,
                })
            });
        CurveSeries {
            name: format!("digest each {digest_ms} ms"),
            points: points.collect(),
        }
    };
    CurveChart {
        title: "Convergence against control bytes, 100 daemons".into(),
        x_name: "control bytes a second a daemon".into(),
        y_name: "99 in 100 daemons after, ms".into(),
        series: ["500", "2000"].map(series_of).into(),
    }
}

/// Returns the chart of the share of answered requests by offered load, with a line for each policy.
fn load_chart(figures: &FigureFile, deployment: &str) -> CurveChart {
    let series_of = |policy: &str| {
        let points = LOADS_PERCENT.into_iter().filter_map(|load| {
            let name = format!("{deployment}.none.{load}.{policy}.of_capacity");
            Some(CurvePoint {
                label: String::new(),
                x: load,
                y: figures.value(&name)?,
            })
        });
        CurveSeries {
            name: policy.into(),
            points: points.collect(),
        }
    };
    CurveChart {
        title: format!("Answered share of what capacity allows, {deployment}"),
        x_name: "offered load, percent of capacity".into(),
        y_name: "answered, percent of what capacity allows".into(),
        series: POLICIES.map(series_of).into(),
    }
}
