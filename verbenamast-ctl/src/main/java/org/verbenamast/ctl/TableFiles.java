package org.verbenamast.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.vavr.control.Either;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.table.Limit;
import org.verbenamast.core.table.ServerName;
import org.verbenamast.core.table.TableContent;
import org.verbenamast.core.table.TableEntry;
import org.verbenamast.core.table.TableFault;
import org.verbenamast.core.table.TableScope;
import org.verbenamast.wire.OperatorJson;
import org.verbenamast.wire.WireException;

/** Tables as files of a spreadsheet. */
final class TableFiles {

    static final String HEADER = "service,zone,server,weight,concurrency,rate";

    private static final List<String> COLUMNS = List.of(HEADER.split(","));
    private static final String WHOLE_NUMBER = "a whole number between 0 and %d";

    private TableFiles() {}

    static String csv(TableContent content) {
        StringBuilder text = new StringBuilder(HEADER).append('\n');
        for (TableEntry entry : content.entries()) {
            text.append(String.join(",", cells(entry))).append('\n');
        }
        return text.toString();
    }

    static List<String> cells(TableEntry entry) {
        TableScope scope = entry.scope();
        return List.of(
                scope.service().value(),
                scope.zone().map(Zone::name).orElse(""),
                scope.server().map(ServerName::value).orElse(""),
                Integer.toString(entry.weight()),
                entry.concurrency().toString(),
                entry.ratePerSecond().toString());
    }

    static Either<CtlFault, TableContent> parse(String name, String text) {
        return name.endsWith(".json") ? parseJson(name, text) : parseCsv(text);
    }

    private static Either<CtlFault, TableContent> parseJson(String name, String text) {
        try {
            byte[] json = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            return Either.right(OperatorJson.read(json, TableContent.class));
        } catch (WireException e) {
            return Either.left(CtlFault.shouldBeReadable(name, e.getMessage()));
        }
    }

    private static Either<CtlFault, TableContent> parseCsv(String text) {
        List<String> lines = text.lines().filter(line -> !line.isBlank()).toList();
        List<TableFault> faults = new ArrayList<>();
        if (lines.isEmpty() || !lines.get(0).trim().equals(HEADER)) {
            String found = lines.isEmpty() ? "nothing" : lines.get(0);
            faults.add(TableFault.shouldBe(0, "header", found, HEADER));
            return Either.left(CtlFault.shouldBeSound(faults));
        }
        List<TableEntry> entries = new ArrayList<>();
        for (int row = 1; row < lines.size(); row++) {
            entry(row, lines.get(row), faults).ifPresent(entries::add);
        }
        return faults.isEmpty() ? Either.right(new TableContent(entries)) : Either.left(CtlFault.shouldBeSound(faults));
    }

    private static Optional<TableEntry> entry(int row, String line, List<TableFault> faults) {
        List<String> cells = List.of(line.split(",", -1));
        if (cells.size() != COLUMNS.size()) {
            String found = cells.size() + " columns";
            faults.add(TableFault.shouldBe(row, "(all)", found, COLUMNS.size() + " columns: " + HEADER));
            return Optional.empty();
        }
        int before = faults.size();
        ServiceName service = cell(row, 0, cells, "the name of a service", ServiceName::new, faults);
        Optional<Zone> zone = optional(cells.get(1), Zone::new);
        Optional<ServerName> server = optional(cells.get(2), ServerName::new);
        Integer weight =
                cell(row, 3, cells, WHOLE_NUMBER.formatted(TableEntry.MAX_WEIGHT_PERCENT), TableFiles::weight, faults);
        String limit = WHOLE_NUMBER.formatted(Limit.MAX) + ", or nothing for no limit";
        Limit concurrency = cell(row, 4, cells, limit, Limit::parse, faults);
        Limit rate = cell(row, 5, cells, limit, Limit::parse, faults);
        return faults.size() > before
                ? Optional.empty()
                : Optional.of(new TableEntry(new TableScope(service, zone, server), weight, concurrency, rate));
    }

    private static <T> Optional<T> optional(String cell, Function<String, T> parser) {
        return cell.isBlank() ? Optional.empty() : Optional.of(parser.apply(cell.trim()));
    }

    private static int weight(String text) {
        int weight = Integer.parseInt(text);
        if (weight < 0 || weight > TableEntry.MAX_WEIGHT_PERCENT) {
            throw new IllegalArgumentException(text);
        }
        return weight;
    }

    private static <T> T cell(
            int row,
            int column,
            List<String> cells,
            String wanted,
            Function<String, T> parser,
            List<TableFault> faults) {
        String text = cells.get(column).trim();
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            faults.add(TableFault.shouldBe(row, COLUMNS.get(column), text, wanted));
            return null;
        }
    }
}
