package org.verbenamast.ctl;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

import io.vavr.control.Either;

/** The commands that tell the story of a request, a key or a server from the log files of any number of nodes. */
final class LogCommands {

    /** The name that stands for standard input in place of a file. */
    private static final String STANDARD_INPUT = "-";

    /** What a key looks like; anything else is the id of a server. */
    private static final String KEY_PATTERN = "\\d{1,9}";

    private LogCommands() {}

    static Either<CtlFault, ExitCode> why(Session session) {
        String id = session.options().words.get(1);
        return collect(session, line -> line.isAbout(id)).flatMap(found -> tell(session, id, found));
    }

    static Either<CtlFault, ExitCode> timeline(Session session) {
        List<String> words = session.options().words;
        if (words.size() < 3) {
            return Either.left(
                    CtlFault.shouldBeReadable("the command line", "a key or a server and a file are needed"));
        }
        String subject = words.get(1);
        Predicate<LogLine> wanted = subject.matches(KEY_PATTERN)
                ? line -> line.isAboutKey(Integer.parseInt(subject))
                : line -> line.isAboutServer(subject);
        return collect(session, wanted).flatMap(found -> tellTimes(session, subject, found));
    }

    /**
     * The lines that were asked for.
     *
     * @param lines the lines, in order of time
     * @param unreadable how many lines could not be read
     */
    private record Found(List<LogLine> lines, int unreadable) {

        String skipped() {
            return unreadable == 0 ? "" : "; %d lines were unreadable".formatted(unreadable);
        }
    }

    private static Either<CtlFault, Found> collect(Session session, Predicate<LogLine> wanted) {
        List<String> words = session.options().words;
        List<LogLine> lines = new ArrayList<>();
        int unreadable = 0;
        for (String name : words.subList(2, words.size())) {
            Either<CtlFault, List<String>> texts = read(name);
            if (texts.isLeft()) {
                return Either.left(texts.getLeft());
            }
            for (String text : texts.get()) {
                Either<CtlFault, LogLine> parsed = LogLine.parse(text);
                unreadable += parsed.isLeft() ? 1 : 0;
                parsed.filter(wanted::test).forEach(line -> line.forEach(lines::add));
            }
        }
        lines.sort(Comparator.comparing(LogLine::time));
        return Either.right(new Found(lines, unreadable));
    }

    private static Either<CtlFault, List<String>> read(String name) {
        try {
            if (name.equals(STANDARD_INPUT)) {
                return Either.right(lines(System.in));
            }
            try (InputStream in = Files.newInputStream(Path.of(name))) {
                return Either.right(lines(in));
            }
        } catch (IOException e) {
            return Either.left(CtlFault.shouldBeReadable(name, e.toString()));
        }
    }

    private static List<String> lines(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8)
                .lines()
                .filter(line -> !line.isBlank())
                .toList();
    }

    private static Either<CtlFault, ExitCode> tell(Session session, String id, Found found) {
        if (found.lines().isEmpty()) {
            return Either.left(CtlFault.shouldExist(
                    "a line about request <%s> (a success may not be in the sample, or a node's log is missing)%s"
                            .formatted(id, found.skipped())));
        }
        print(
                session,
                found,
                List.of("TIME", "HOP", "OUTCOME", "REASON", "INPUTS"),
                found.lines().stream().map(LogLine::cells).toList());
        if (!session.printer().json()
                && found.lines().stream().noneMatch(line -> line.hop().equals("entry"))) {
            session.printer().out().println("no line of the node that took the request: its log is missing");
        }
        return Either.right(ExitCode.OK);
    }

    private static Either<CtlFault, ExitCode> tellTimes(Session session, String subject, Found found) {
        if (found.lines().isEmpty()) {
            return Either.left(CtlFault.shouldExist("a line about key or server <%s> (a node's log may be missing)%s"
                    .formatted(subject, found.skipped())));
        }
        print(
                session,
                found,
                List.of("TIME", "WHAT", "INPUTS"),
                found.lines().stream().map(LogLine::moment).toList());
        return Either.right(ExitCode.OK);
    }

    private static void print(Session session, Found found, List<String> titles, List<List<String>> rows) {
        session.printer().print(found.lines(), titles, rows);
        if (!session.printer().json() && found.unreadable() > 0) {
            session.printer().out().println(found.unreadable() + " lines were unreadable and are left out");
        }
    }
}
