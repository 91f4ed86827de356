//! What is wrong with a configuration, where, and how it reads on a terminal.

use std::fmt;

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceCode};
use thiserror::Error;

use crate::source::{Sources, Span};

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What was found, and what was expected.
    pub message: String,
    /// Where; none where it is something that is missing altogether.
    pub span: Option<Span>,
    /// What to do about it.
    pub help: Option<String>,
}

impl Problem {
    /// A problem at a place.
    pub fn at(span: Span, message: impl Into<String>) -> Self {
        Problem { message: message.into(), span: Some(span), help: None }
    }

    /// A problem without a place.
    pub fn without_span(message: impl Into<String>) -> Self {
        Problem { message: message.into(), span: None, help: None }
    }

    /// With advice.
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// With the nearest of the words that would have been understood, if one is near.
    pub fn suggest<'a>(self, found: &str, known: impl IntoIterator<Item = &'a str>) -> Self {
        match nearest(found, known) {
            Some(word) => self.help(format!("did you mean `{word}`?")),
            None => self,
        }
    }
}

/// The nearest known word: not further than a third of its letters, so that no wild guess is offered.
fn nearest<'a>(found: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let found = found.to_ascii_lowercase();
    let distance = |word: &str| strsim::damerau_levenshtein(&found, word);
    let near = known.into_iter().filter(|word| !word.is_empty()).map(|word| (distance(word), word));
    let near = near.filter(|(distance, word)| *distance <= (word.len().max(found.len()) / 3).max(1));
    near.min().map(|(_, word)| word)
}

/// Everything that is wrong with a configuration, and the texts that it is wrong in.
#[derive(Debug, Error)]
pub struct Problems {
    /// The problems, in the order in which they were found.
    pub list: Vec<Problem>,
    sources: Sources,
}

impl Problems {
    /// Problems in these texts.
    pub fn new(list: Vec<Problem>, sources: Sources) -> Self {
        Problems { list, sources }
    }

    /// Each problem with the line that it is in, for a person at a terminal. No colours.
    pub fn render(&self) -> String {
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor()).with_width(110);
        let mut text = String::new();
        for problem in &self.list {
            text.push_str(&format!("{}{}\n", self.place(problem), problem.message));
            if let Some(span) = problem.span {
                let shown = Shown { problem, span, source: self.named(span) };
                // The only thing that can fail is writing to a string.
                let _ = handler.render_report(&mut text, &shown);
            } else if let Some(help) = &problem.help {
                text.push_str(&format!("  {help}\n"));
            }
        }
        text
    }

    fn named(&self, span: Span) -> NamedSource<String> {
        let source = self.sources.get(span.file);
        NamedSource::new(source.name.clone(), source.text.clone())
    }

    fn place(&self, problem: &Problem) -> String {
        problem.span.map_or_else(String::new, |span| format!("{}: ", self.sources.location(span)))
    }
}

impl fmt::Display for Problems {
    /// One line: `file:line:column: what`, for each problem, parted by semicolons.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, problem) in self.list.iter().enumerate() {
            let gap = if at > 0 { "; " } else { "" };
            write!(f, "{gap}{}{}", self.place(problem), problem.message)?;
            if let Some(help) = &problem.help {
                write!(f, " ({help})")?;
            }
        }
        Ok(())
    }
}

/// The line of a problem as the report library wants it. What was found stands above it already.
#[derive(Debug)]
struct Shown<'a> {
    problem: &'a Problem,
    span: Span,
    source: NamedSource<String>,
}

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.problem.help.as_deref().unwrap_or("in this line"))
    }
}

impl std::error::Error for Shown<'_> {}

impl Diagnostic for Shown<'_> {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }
    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let length = self.span.end - self.span.start;
        let label = LabeledSpan::new(Some("here".into()), self.span.start, length);
        Some(Box::new(std::iter::once(label)))
    }
}

#[cfg(test)]
mod tests {
    use super::nearest;

    #[test]
    fn only_a_near_word_is_offered() {
        let known = ["listen", "discovery", "zone"];
        assert_eq!(nearest("lisen", known), Some("listen"));
        assert_eq!(nearest("Listen", known), Some("listen"));
        assert_eq!(nearest("port", known), None);
    }
}
