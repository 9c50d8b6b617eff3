package org.verbenamast.ctl;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import io.vavr.control.Either;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.table.TableContent;
import org.verbenamast.core.table.TableEntry;
import org.verbenamast.core.table.TableRow;
import org.verbenamast.core.table.TableScope;
import org.verbenamast.wire.OperatorJson;

/** The commands about the table and its versions. */
final class TableCommands {

    private static final List<String> COLUMNS = List.of("SERVICE", "ZONE", "SERVER", "WEIGHT", "CONCURRENCY", "RATE");

    private TableCommands() {}

    /**
     * The version in force.
     *
     * @param version the version, or 0 where there is none
     * @param content its rows
     */
    record Present(long version, TableContent content) {}

    /**
     * A row that two versions do not have alike.
     *
     * @param change {@code +} for a row that is new, {@code -} for one that is gone
     * @param entry the row
     */
    record Difference(String change, TableEntry entry) {}

    static Either<CtlFault, Present> present(Session session) {
        return session.rows("/v1/table")
                .map(rows -> rows.isEmpty()
                        ? new Present(0, TableContent.EMPTY)
                        : presentOf((TableRow) rows.get(0).value()));
    }

    private static Present presentOf(TableRow row) {
        return new Present(row.version(), row.content());
    }

    static Either<CtlFault, ExitCode> show(Session session) {
        return present(session).map(table -> {
            session.printer().print(table, COLUMNS, lines(table.content()));
            if (!session.printer().json()) {
                session.printer().out().println("version " + table.version());
            }
            return ExitCode.OK;
        });
    }

    private static List<List<String>> lines(TableContent content) {
        return content.entries().stream().map(TableFiles::cells).toList();
    }

    static Either<CtlFault, ExitCode> export(Session session) {
        return present(session).map(table -> {
            boolean json =
                    session.options().format.equals("json") || session.printer().json();
            String text = json
                    ? new String(OperatorJson.write(table.content()), StandardCharsets.UTF_8) + "\n"
                    : TableFiles.csv(table.content());
            session.printer().out().print(text);
            return ExitCode.OK;
        });
    }

    static Either<CtlFault, ExitCode> edit(Session session) {
        if (session.options().rows.isEmpty()) {
            return Either.left(CtlFault.shouldBeGiven("--set"));
        }
        StringBuilder csv = new StringBuilder(TableFiles.HEADER).append('\n');
        session.options().rows.forEach(row -> csv.append(row.replaceFirst("^([^/,]*)/([^/,]*)/([^/,]*),", "$1,$2,$3,"))
                .append('\n'));
        return TableFiles.parse("--set", csv.toString()).flatMap(rows -> present(session)
                .flatMap(table -> ChangeCommands.propose(session, merged(table.content(), rows))));
    }

    private static TableContent merged(TableContent before, TableContent rows) {
        List<TableEntry> entries = new ArrayList<>(rows.entries());
        before.entries().stream()
                .filter(entry -> rows.find(entry.scope()).isEmpty())
                .forEach(entries::add);
        return new TableContent(entries);
    }

    static Either<CtlFault, ExitCode> log(Session session) {
        return present(session).flatMap(table -> {
            List<TableRow> versions = new ArrayList<>();
            long first = Math.max(1, table.version() - session.options().last + 1);
            for (long version = table.version(); version >= first; version--) {
                Either<CtlFault, TableRow> row = kept(session, Long.toString(version));
                if (row.isLeft()) {
                    return Either.left(row.getLeft());
                }
                versions.add(row.get());
            }
            session.printer()
                    .print(
                            versions,
                            List.of("VERSION", "CHANGE", "HASH", "AUTHOR", "SIGNED BY", "AT", "REASON"),
                            versions.stream().map(TableCommands::line).toList());
            return Either.right(ExitCode.OK);
        });
    }

    private static List<String> line(TableRow row) {
        return List.of(
                Long.toString(row.version()),
                row.change().value(),
                row.hash().abbreviated(),
                row.author().value(),
                row.approvals().stream()
                        .map(a -> a.operator() + " of " + a.organisation())
                        .toList()
                        .toString(),
                row.at(),
                row.reason());
    }

    private static Either<CtlFault, TableRow> kept(Session session, String version) {
        return session.rows("/v1/table/versions/" + version)
                .flatMap(rows -> rows.isEmpty()
                        ? Either.left(CtlFault.shouldExist("version <" + version + ">"))
                        : Either.right((TableRow)
                                rows.stream().map(Row::value).findFirst().orElseThrow()));
    }

    static Either<CtlFault, ExitCode> diff(Session session) {
        return session.word(2, "FROM-VERSION")
                .flatMap(from -> session.word(3, "TO-VERSION").flatMap(to -> kept(session, from)
                        .flatMap(a -> kept(session, to).map(b -> differences(a.content(), b.content())))))
                .map(differences -> {
                    session.printer()
                            .print(
                                    differences,
                                    header(),
                                    differences.stream()
                                            .map(TableCommands::line)
                                            .toList());
                    return ExitCode.OK;
                });
    }

    private static List<String> header() {
        List<String> header = new ArrayList<>(List.of(" "));
        header.addAll(COLUMNS);
        return header;
    }

    private static List<String> line(Difference difference) {
        List<String> line = new ArrayList<>(List.of(difference.change()));
        line.addAll(TableFiles.cells(difference.entry()));
        return line;
    }

    private static List<Difference> differences(TableContent from, TableContent to) {
        TreeSet<TableScope> scopes = new TreeSet<>();
        from.entries().forEach(entry -> scopes.add(entry.scope()));
        to.entries().forEach(entry -> scopes.add(entry.scope()));
        List<Difference> differences = new ArrayList<>();
        for (TableScope scope : scopes) {
            if (!from.find(scope).equals(to.find(scope))) {
                from.find(scope).ifPresent(entry -> differences.add(new Difference("-", entry)));
                to.find(scope).ifPresent(entry -> differences.add(new Difference("+", entry)));
            }
        }
        return differences;
    }
}
