//! The grammar: words, lines and sections. It is independent of the table of keywords.

use std::ops::Range;

use winnow::ascii::{line_ending, space0};
use winnow::combinator::{alt, delimited, eof, opt, preceded, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, one_of, take_while};

use crate::problem::Problem;
use crate::source::Span;

/// A word and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The text, with quotes removed and escapes resolved.
    pub text: String,
    /// Location, including the quotes.
    pub span: Span,
}

/// A line and, if it opens a section, the lines of that section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The first word.
    pub keyword: Word,
    /// The words after the first.
    pub args: Vec<Word>,
    /// The lines between the braces, if the line opens a section.
    pub block: Option<Vec<Line>>,
}

impl Word {
    /// A word without a source text, such as a default value. Its span refers to nothing.
    pub fn synthetic(text: &str) -> Self {
        Word { text: text.into(), span: Span { file: 0, start: 0, end: 0 } }
    }
}

impl Line {
    /// The span of the line's words, without the block.
    pub fn span(&self) -> Span {
        let end = self.args.last().map_or(self.keyword.span.end, |last| last.span.end);
        Span { end, ..self.keyword.span }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Token {
    Word(String),
    OpenBrace,
    CloseBrace,
}

type Input<'a> = LocatingSlice<&'a str>;

fn quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let escape = preceded('\\', any).verify_map(|c| match c {
        'n' => Some('\n'),
        't' => Some('\t'),
        '"' | '\\' => Some(c),
        _ => None,
    });
    let character = alt((none_of(['"', '\\', '\n', '\r']), escape));
    delimited('"', repeat(0.., character), '"').parse_next(input)
}

fn bare(input: &mut Input<'_>) -> ModalResult<String> {
    let is_delimiter = |c: char| c.is_whitespace() || matches!(c, '"' | '{' | '}');
    let first = one_of(move |c: char| !is_delimiter(c) && c != '#');
    (first, take_while(0.., move |c: char| !is_delimiter(c))).take().map(str::to_owned).parse_next(input)
}

/// One word or brace. [`tokens`] rejects two words without a space between them, such as `"a"b`.
fn token(input: &mut Input<'_>) -> ModalResult<(Token, Range<usize>)> {
    let brace = alt(('{'.value(Token::OpenBrace), '}'.value(Token::CloseBrace)));
    alt((quoted.map(Token::Word), bare.map(Token::Word), brace)).with_span().parse_next(input)
}

/// White space between tokens. A backslash at the end of a line continues it on the next one.
fn white_space(input: &mut Input<'_>) -> ModalResult<()> {
    let next_line = ('\\', line_ending, space0);
    (space0, repeat::<_, _, (), _, _>(0.., next_line)).void().parse_next(input)
}

fn comment(input: &mut Input<'_>) -> ModalResult<()> {
    ('#', take_while(0.., |c: char| c != '\n')).void().parse_next(input)
}

fn end(input: &mut Input<'_>) -> ModalResult<()> {
    alt((line_ending.void(), eof.void())).parse_next(input)
}

/// The tokens of one line, including its continuation lines, with their ranges in the text.
fn tokens(input: &mut Input<'_>) -> ModalResult<Vec<(Token, Range<usize>)>> {
    let mut found: Vec<(Token, Range<usize>)> = Vec::new();
    loop {
        white_space.parse_next(input)?;
        opt(comment).parse_next(input)?;
        if opt(end).parse_next(input)?.is_some() {
            return Ok(found);
        }
        let (token, span) = token.parse_next(input)?;
        let is_adjacent = found.last().is_some_and(|(last, at)| {
            at.end == span.start && matches!((last, &token), (Token::Word(_), Token::Word(_)))
        });
        if is_adjacent {
            return Err(ErrMode::Cut(ContextError::new()));
        }
        found.push((token, span));
    }
}

/// Parses a text. A syntax error is added to `problems`, and parsing continues on the next line.
pub fn parse(file: usize, text: &str, problems: &mut Vec<Problem>) -> Vec<Line> {
    // Some editors write a byte order mark.
    let skipped = text.len() - text.trim_start_matches('\u{feff}').len();
    let mut input = LocatingSlice::new(text);
    let _ = input.next_slice(skipped);
    let mut stack: Vec<(Option<Line>, Vec<Line>)> = vec![(None, Vec::new())];
    let span_of = |span: &Range<usize>| Span { file, start: span.start, end: span.end };
    while input.eof_offset() > 0 {
        let start = input.current_token_start();
        let line = match tokens.parse_next(&mut input) {
            Ok(line) => line,
            Err(_) => {
                let error_at = input.current_token_start();
                let rest = text[start..].find('\n').map_or(text.len(), |n| start + n + 1);
                let end = text[error_at..].chars().next().map_or(error_at, |c| error_at + c.len_utf8());
                problems.push(Problem::at(
                    Span { file, start: error_at, end },
                    describe_syntax_error(text, error_at),
                ));
                // Continuation lines before the error are not parsed again.
                let rest = rest.max(text[error_at..].find('\n').map_or(text.len(), |n| error_at + n + 1));
                input = LocatingSlice::new(text);
                let _ = input.next_slice(rest);
                continue;
            }
        };
        nest_line(line, &span_of, &mut stack, problems);
    }
    while stack.len() > 1 {
        let (open, lines) = stack.pop().unwrap_or_default();
        if let Some(mut open) = open {
            let text = format!("`{}` is not closed by the end of the file, expected `}}`", open.keyword.text);
            problems.push(Problem::at(open.span(), text));
            open.block = Some(lines);
            stack.last_mut().expect("the top level is never popped").1.push(open);
        }
    }
    stack.pop().map_or_else(Vec::new, |top_level| top_level.1)
}

/// Adds a line to the innermost open section, or opens or closes a section.
fn nest_line(
    tokens: Vec<(Token, Range<usize>)>,
    span_of: &impl Fn(&Range<usize>) -> Span,
    stack: &mut Vec<(Option<Line>, Vec<Line>)>,
    problems: &mut Vec<Problem>,
) {
    let mut words = Vec::new();
    let (mut opening, mut closing) = (None, None);
    let count = tokens.len();
    for (index, (token, span)) in tokens.into_iter().enumerate() {
        match token {
            Token::Word(text) => words.push(Word { text, span: span_of(&span) }),
            Token::OpenBrace if index + 1 == count && index > 0 => opening = Some(span),
            Token::CloseBrace if count == 1 => closing = Some(span),
            Token::OpenBrace => {
                let text = "found `{`, expected it only at the end of a line that names a section";
                return problems.push(
                    Problem::at(span_of(&span), text)
                        .help("put the word in quotes if the brace is part of it"),
                );
            }
            Token::CloseBrace => {
                let text = "found `}`, expected it alone on its line";
                return problems.push(
                    Problem::at(span_of(&span), text)
                        .help("put the word in quotes if the brace is part of it"),
                );
            }
        }
    }
    if let Some(span) = closing {
        match stack.len() {
            1 => problems
                .push(Problem::at(span_of(&span), "found `}`, expected it only where a section is open")),
            _ => {
                let (open, lines) = stack.pop().unwrap_or_default();
                if let Some(mut open) = open {
                    open.block = Some(lines);
                    stack.last_mut().expect("the top level is never popped").1.push(open);
                }
            }
        }
        return;
    }
    let mut words = words.into_iter();
    let Some(keyword) = words.next() else { return };
    let line = Line { keyword, args: words.collect(), block: None };
    match opening {
        Some(_) => stack.push((Some(line), Vec::new())),
        None => stack.last_mut().expect("the top level is never popped").1.push(line),
    }
}

/// Describes a syntax error by the character at which parsing stopped.
fn describe_syntax_error(text: &str, at: usize) -> String {
    match text[at..].chars().next() {
        None | Some('\n' | '\r') => "found the end of the line inside quotes, expected `\"`".into(),
        Some('"') => {
            "found a quote that is not closed on its line or that touches another word, expected `\"` at \
                      the end of the text and a space between words"
                .into()
        }
        Some('\\') => {
            "found a backslash, expected \\n, \\t, \\\" or \\\\ inside quotes, or a backslash at the end \
                       of the line"
                .into()
        }
        Some(c) => format!("found {c:?}, expected a word, `{{`, `}}`, a comment or the end of the line"),
    }
}
