package org.verbenamast.core.table;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.TableName;

/**
 * The stored row of an accepted version of the operators' table.
 *
 * @param version the version number: 1 for the first, then increasing by 1
 * @param content the rows
 * @param hash the hash of the content
 * @param change the change that was accepted
 * @param reason the reason stated in the proposal
 * @param author the operator who proposed the change
 * @param approvals the approvals, one of each organisation
 * @param at the wall-clock time stated by the last approver, informational only
 * @param operation the id of the command that wrote the row
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

    /** The key of the row of the version in force. */
    public static final RowKey KEY = new RowKey(TableName.TABLE, "current");

    /** Validates the components and copies the list. */
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
     * Returns the key under which an accepted version is stored permanently.
     *
     * @param version the version
     * @return the key in the table of versions
     */
    public static RowKey versionKey(long version) {
        return new RowKey(TableName.VERSIONS, Long.toString(version));
    }
}
