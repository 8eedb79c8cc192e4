//! Output of the figures as a table, JSON lines and charts.

use std::{collections::BTreeMap, fs, path::Path};

use plotters::prelude::{
    ChartBuilder, Circle, IntoDrawingArea as _, IntoLogRange as _, LineSeries, Palette as _,
    Palette99, SVGBackend, WHITE,
};

use super::plan::Figures;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (800, 500);
/// Largest multiple of the lower bound on the axis of a chart; higher values are clipped.
const MAX_BOUNDS: f64 = 10.0;

/// Prints the header of the table.
pub fn print_header() {
    println!(
        "scheme | case | VMs | zones | s | bounds | origin | region in | region out | upload | download | moved | control KB/s | unfinished | wrong"
    );
}

/// Prints the figures of one run as a row of the table.
pub fn print_row(f: &Figures) {
    println!(
        "{} | {} | {} | {} | {:.1} | {:.2} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.3} | {:.1} | {} | {}",
        f.scheme,
        f.case,
        f.vms,
        f.zones,
        f.seconds,
        f.bounds,
        f.origin,
        f.region_in,
        f.region_out,
        f.upload,
        f.download,
        f.moved,
        f.control,
        f.unfinished,
        f.wrong
    );
}

/// Writes the figures as JSON lines, and a chart of time over VMs for each case and zone count.
pub fn write_files(out: &Path, figures: &[Figures]) -> anyhow::Result<()> {
    fs::create_dir_all(out)?;
    let lines: Result<Vec<String>, _> = figures.iter().map(serde_json::to_string).collect();
    fs::write(out.join("weights.jsonl"), lines?.join("\n") + "\n")?;
    let mut charts: BTreeMap<(&str, usize), Vec<&Figures>> = BTreeMap::new();
    for run in figures {
        charts.entry((run.case, run.zones)).or_default().push(run);
    }
    for ((case, zones), figures) in charts {
        draw_chart(&out.join(format!("weights-{case}-{zones}.svg")), case, zones, &figures)?;
    }
    Ok(())
}

fn draw_chart(file: &Path, case: &str, zones: usize, figures: &[&Figures]) -> anyhow::Result<()> {
    let mut series: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for run in figures {
        let point = (run.vms as f64, run.bounds.min(MAX_BOUNDS));
        series.entry(run.scheme).or_default().push(point);
    }
    let area = SVGBackend::new(file, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("{case}, {zones} zones: time in bounds over VMs");
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d((10.0..1_000.0).log_scale(), 0.0..MAX_BOUNDS)?;
    chart.configure_mesh().x_desc("VMs").y_desc("time / bound").draw()?;
    for (i, (scheme, points)) in series.into_iter().enumerate() {
        let colour = Palette99::pick(i);
        let dots = points.iter().map(|point| Circle::new(*point, 3, &colour));
        chart.draw_series(dots)?;
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(scheme)
            .legend(move |(x, y)| Circle::new((x, y), 4, Palette99::pick(i)));
    }
    chart.configure_series_labels().draw()?;
    area.present()?;
    Ok(())
}
