package org.verbenamast.core.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.TableName;

/**
 * A proposed change of the table.
 *
 * @param id the change
 * @param state the state in the chart {@code change}
 * @param base the version of the table on which it is proposed; 0 where there is none
 * @param content all rows that the table is to have
 * @param author who proposed it
 * @param organisation the author's organisation
 * @param approvals who signed off the present content
 * @param steps every command that the change has taken
 * @param operation the id of the operation that wrote the row
 */
public record ChangeRow(
        ChangeId id,
        String state,
        long base,
        TableContent content,
        OperatorName author,
        Organisation organisation,
        List<Approval> approvals,
        List<ChangeStep> steps,
        String operation)
        implements RowValue {

    /** The most commands that a change takes. */
    public static final int MAX_STEPS = 200;

    /** Checks the parts and copies the lists. */
    public ChangeRow {
        Objects.requireNonNull(id, "id");
        Checks.notBlank("state", state);
        Checks.notNegative("base", base);
        Objects.requireNonNull(content, "content");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(organisation, "organisation");
        approvals = List.copyOf(approvals);
        steps = List.copyOf(steps);
        Objects.requireNonNull(operation, "operation");
    }

    /**
     * Returns the key of a change's row.
     *
     * @param id the change
     * @return the key
     */
    public static RowKey keyOf(ChangeId id) {
        return new RowKey(TableName.CHANGES, id.value());
    }

    /**
     * Tells whether the change has taken a command.
     *
     * @param command the command
     * @return whether one of the steps is that command
     */
    public boolean took(ChangeCommand command) {
        return steps.stream()
                .anyMatch(step -> step.operation().equals(command.operation())
                        && step.operator().equals(command.operator())
                        && step.kind() == command.kind());
    }

    /**
     * Returns this change in another state.
     *
     * @param next the state's name
     * @return the changed row
     */
    public ChangeRow inState(String next) {
        return new ChangeRow(id, next, base, content, author, organisation, approvals, steps, operation);
    }

    /**
     * Returns this change with one more step.
     *
     * @param step the step
     * @return the changed row
     */
    public ChangeRow withStep(ChangeStep step) {
        List<ChangeStep> next = new ArrayList<>(steps);
        next.add(step);
        return new ChangeRow(id, state, base, content, author, organisation, approvals, next, step.operation());
    }

    /**
     * Returns this change with one more approval.
     *
     * @param approval the approval
     * @return the changed row
     */
    public ChangeRow withApproval(Approval approval) {
        List<Approval> next = new ArrayList<>(approvals);
        next.add(approval);
        return new ChangeRow(id, state, base, content, author, organisation, next, steps, operation);
    }

    /**
     * Returns this change with other content and no approvals.
     *
     * @param nextBase the version of the table on which the content is proposed
     * @param next the content
     * @return the changed row
     */
    public ChangeRow withContent(long nextBase, TableContent next) {
        return new ChangeRow(id, state, nextBase, next, author, organisation, List.of(), steps, operation);
    }
}
