package org.verbenamast.core.table;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The rows of a table, in the order of their scopes.
 *
 * @param entries the rows
 */
public record TableContent(List<TableEntry> entries) {

    /** A table without rows. */
    public static final TableContent EMPTY = new TableContent(List.of());

    /** Sorts and copies the rows. */
    public TableContent {
        entries =
                entries.stream().sorted(Comparator.comparing(TableEntry::scope)).toList();
    }

    /**
     * Hashes the content. The order in which the rows were given does not matter.
     *
     * @return the hash
     */
    public ContentHash hash() {
        return ContentHash.of(entries.stream().map(TableEntry::line).collect(Collectors.joining("\n")));
    }

    /**
     * Finds a row.
     *
     * @param scope what the row is about
     * @return the row, if there is one
     */
    public Optional<TableEntry> find(TableScope scope) {
        return entries.stream().filter(entry -> entry.scope().equals(scope)).findFirst();
    }
}
