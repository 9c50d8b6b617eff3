package org.verbenamast.core.table;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The rows of a table, in the order in which they were given.
 *
 * @param entries the rows
 */
public record TableContent(List<TableEntry> entries) {

    /** A table without rows. */
    public static final TableContent EMPTY = new TableContent(List.of());

    /** Copies the list. */
    public TableContent {
        entries = List.copyOf(entries);
    }

    /**
     * Hashes the content. The order in which the rows were given does not matter.
     *
     * @return the hash
     */
    public ContentHash hash() {
        return ContentHash.of(entries.stream().map(TableEntry::line).sorted().collect(Collectors.joining("\n")));
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
