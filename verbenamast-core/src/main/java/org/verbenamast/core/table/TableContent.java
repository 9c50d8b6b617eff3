package org.verbenamast.core.table;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The rows of a version of the operators' table, in the order in which the operator listed them.
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
     * Computes the hash of the content. It does not depend on the order of the rows.
     *
     * @return the SHA-256 hash of the sorted rows
     */
    public ContentHash hash() {
        return ContentHash.of(
                entries.stream().map(TableEntry::canonicalLine).sorted().collect(Collectors.joining("\n")));
    }

    /**
     * Returns the row of a scope.
     *
     * @param scope the scope exactly as listed, without normalization
     * @return the first row with this scope, if any
     */
    public Optional<TableEntry> find(TableScope scope) {
        return entries.stream().filter(entry -> entry.scope().equals(scope)).findFirst();
    }
}
