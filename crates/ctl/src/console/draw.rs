//! Draws the console. Works at 80×24, and says everything in words and signs: colour only repeats it.

use heathward_event_log::NodeState;
use heathward_incident::findings::clock;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Borders, Cell, Paragraph, Row, Table, Wrap};
use ratatui::Frame;

use super::view::{Mode, NodeRow, View};

/// Draws all of it.
pub fn draw(frame: &mut Frame<'_>, view: &View, colour: bool) {
    let classes = view.incident().classes.len() as u16;
    let nodes = view.incident().nodes.len() as u16;
    let area = frame.area();
    // What is left goes to the findings, of which at least three lines are seen.
    let most = area.height.saturating_sub(1 + classes + 3 + 5 + 2).max(3);
    let rows = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(classes + 3),
        Constraint::Length((nodes + 3).min(most)),
        Constraint::Min(3),
        Constraint::Length(1),
        Constraint::Length(1),
    ]);
    let [head, service, table, findings, line, keys] = rows.areas(area);
    draw_head(frame, head, view, colour);
    draw_classes(frame, service, view);
    draw_nodes(frame, table, view, colour);
    draw_findings(frame, findings, view);
    frame.render_widget(Paragraph::new(view.line()).style(bold()), line);
    let keys_text = match view.mode() {
        Mode::Live { .. } => "↑↓ node  s suspend  r restore  ←→ time  n/p finding  End now  q quit",
        Mode::Recorded => "↑↓ node  ←→ 1 s  PgUp/PgDn 10 s  n/p finding  Home/End  q quit",
    };
    frame.render_widget(Paragraph::new(keys_text), keys);
}

fn bold() -> Style {
    Style::new().add_modifier(Modifier::BOLD)
}

fn block(title: &str) -> Block<'_> {
    Block::new().borders(Borders::TOP).title(Span::styled(title.to_owned(), bold()))
}

fn draw_head(frame: &mut Frame<'_>, area: Rect, view: &View, colour: bool) {
    let now = match (view.mode(), view.follows()) {
        (Mode::Live { .. }, true) => "live",
        (Mode::Live { .. }, false) => "back in time",
        (Mode::Recorded, _) => "recorded",
    };
    let mut spans = vec![Span::styled(format!("{} UTC  {now} ", clock(view.moment())), bold())];
    for row in view.scheduler_rows() {
        let lost = row.state == "NO WORD";
        let style = if lost && colour { Style::new().fg(Color::Red) } else { Style::new() };
        let style = if lost { style.add_modifier(Modifier::REVERSED) } else { style };
        spans.push(Span::raw("  "));
        spans.push(Span::styled(format!("{} {}", row.name, row.state), style));
    }
    if view.at_least() {
        spans.push(Span::styled("  records have a hole here", bold()));
    }
    frame.render_widget(Paragraph::new(Line::from(spans)), area);
}

fn draw_classes(frame: &mut Frame<'_>, area: Rect, view: &View) {
    let head = ["class", "taken", "in aim", "late", "refused", "failed", "left", "p50", "p99"];
    let least = if view.at_least() { "≥" } else { "" };
    let rows = view.class_rows().into_iter().map(|row| {
        let counts = &row.counts;
        let ms = |share: f64| counts.times.quantile(share).map_or("-".to_owned(), |ms| format!("{ms:.0} ms"));
        let share = match counts.ended() {
            0 => String::new(),
            ended => format!(" {:>3.0}%", counts.in_aim as f64 * 100.0 / ended as f64),
        };
        Row::new([
            row.name.clone(),
            format!("{least}{}", counts.taken),
            format!("{least}{}{share}", counts.in_aim),
            format!("{least}{}", counts.late),
            format!("{least}{}", counts.refused.iter().sum::<u64>()),
            format!("{least}{}", counts.failed.iter().sum::<u64>()),
            counts.gone.to_string(),
            ms(0.5),
            ms(0.99),
        ])
    });
    let widths = [16, 7, 11, 6, 8, 7, 5, 8, 8].map(Constraint::Length);
    let table = Table::new(rows, widths).header(Row::new(head).style(bold())).column_spacing(0);
    frame.render_widget(table.block(block(" Service in this second ")), area);
}

/// A state in a word that fits a column, and its colour.
fn word(state: Option<NodeState>) -> (&'static str, Color) {
    match state {
        None => ("?", Color::DarkGray),
        Some(NodeState::InService) => ("ok", Color::Green),
        Some(NodeState::SlowStart(_)) => ("cold", Color::Cyan),
        Some(NodeState::Unresponsive) => ("SILENT", Color::Red),
        Some(NodeState::Suspended) => ("OUT", Color::Magenta),
        Some(NodeState::Draining) => ("DRAIN", Color::Yellow),
        Some(NodeState::Removed) => ("gone", Color::DarkGray),
    }
}

/// Schedulers that have a column of their own at most.
const COLUMNS: usize = 4;

fn draw_nodes(frame: &mut Frame<'_>, area: Rect, view: &View, colour: bool) {
    let names = view.schedulers();
    let single = names.len() <= COLUMNS;
    let mut head = vec!["node".to_owned()];
    match single {
        true => head.extend(names.iter().map(|name| name.chars().take(7).collect())),
        false => head.push("schedulers".to_owned()),
    }
    head.extend(["sent", "served", "lost", "at once"].map(str::to_owned));
    let rows = view.node_rows();
    // The selected node stays in sight.
    let room = usize::from(area.height.saturating_sub(2)).max(1);
    let first = (view.selected() + 1).saturating_sub(room);
    let shown = rows.into_iter().enumerate().skip(first).map(|(place, row)| {
        let marked = place == view.selected();
        let mark = if marked { ">" } else { " " };
        let mut cells = vec![Cell::from(format!("{mark}{}", row.name))];
        match single {
            true => cells.extend(row.states.iter().map(|state| {
                let (text, paint) = word(*state);
                Cell::from(text).style(if colour { Style::new().fg(paint) } else { Style::new() })
            })),
            false => cells.push(Cell::from(together(&row))),
        }
        let counts = &row.counts;
        let lost: u64 = counts.ends.iter().skip(1).take(6).sum();
        let figures = [counts.sent, counts.ends[0], lost, counts.most_out];
        cells.extend(figures.iter().map(|figure| Cell::from(figure.to_string())));
        Row::new(cells).style(if marked { bold() } else { Style::new() })
    });
    let mut widths = vec![Constraint::Min(14)];
    widths
        .extend(vec![Constraint::Length(if single { 8 } else { 26 }); if single { names.len() } else { 1 }]);
    widths.extend([7, 7, 6, 8].map(Constraint::Length));
    let table = Table::new(shown, widths).header(Row::new(head).style(bold())).column_spacing(0);
    frame.render_widget(table.block(block(" Nodes, as each scheduler treats them ")), area);
}

/// How many schedulers treat a node how, where they have no columns of their own.
fn together(row: &NodeRow) -> String {
    let mut counts: Vec<(&str, usize)> = Vec::new();
    for state in &row.states {
        let (text, _) = word(*state);
        match counts.iter_mut().find(|(known, _)| *known == text) {
            Some((_, count)) => *count += 1,
            None => counts.push((text, 1)),
        }
    }
    let told: Vec<String> = counts.iter().map(|(text, count)| format!("{count} {text}")).collect();
    told.join(", ")
}

fn draw_findings(frame: &mut Frame<'_>, area: Rect, view: &View) {
    let lines: Vec<Line<'_>> = view.findings().take(usize::from(area.height)).map(Line::from).collect();
    let text = Paragraph::new(lines).wrap(Wrap { trim: true });
    frame.render_widget(text.block(block(" What happened up to then, the last first ")), area);
}
