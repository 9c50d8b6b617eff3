package org.verbenamast.core.table;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.TableName;

/**
 * An accepted version of the table.
 *
 * @param version the version, which only grows; 1 for the first
 * @param content the rows
 * @param hash the hash of the content
 * @param change the change that was accepted
 * @param reason why it was proposed
 * @param author who proposed it
 * @param approvals who signed it off, one of each organisation
 * @param at the wall time that the last approver stated, as information only
 * @param operation the id of the operation that wrote the row
 */
public record TableRow(
        long version,
        TableContent content,
        ContentHash hash,
        ChangeId change,
        String reason,
        OperatorName author,
        List<Approval> approvals,
        String at,
        String operation)
        implements RowValue {

    /** The key of the version in force. */
    public static final RowKey KEY = new RowKey(TableName.TABLE, "current");

    /** Checks the parts and copies the list. */
    public TableRow {
        Checks.positive("version", version);
        Objects.requireNonNull(content, "content");
        Objects.requireNonNull(hash, "hash");
        Objects.requireNonNull(change, "change");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(author, "author");
        approvals = List.copyOf(approvals);
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(operation, "operation");
    }

    /**
     * Returns the key under which a version is kept for good.
     *
     * @param version the version
     * @return the key
     */
    public static RowKey keptKey(long version) {
        return new RowKey(TableName.VERSIONS, Long.toString(version));
    }
}
