package org.verbenamast.core.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowValue;
import org.verbenamast.core.store.TableName;

/**
 * The stored row of a change of the table.
 *
 * @param id the id of the change
 * @param state the name of its state in the chart {@code change}
 * @param base the version of the table on which the change is based; 0 if there is none
 * @param content all rows of the proposed table
 * @param author the operator who proposed the change
 * @param organisation the author's organisation
 * @param approvals the approvals of the current content, at most one of each organisation
 * @param steps all commands applied to the change, oldest first
 * @param operation the id of the command that last wrote the row
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

    /** The maximum number of commands applied to one change. */
    public static final int MAX_STEPS = 200;

    /** Validates the components and copies the lists. */
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
     * Returns the key of the row of a change.
     *
     * @param id the id of the change
     * @return the key in the table of changes
     */
    public static RowKey keyOf(ChangeId id) {
        return new RowKey(TableName.CHANGES, id.value());
    }

    /**
     * Returns whether a command has already been applied to the change.
     *
     * @param command the command
     * @return whether a step has the same operation, operator and kind
     */
    public boolean hasRecorded(ChangeCommand command) {
        return steps.stream()
                .anyMatch(step -> step.operation().equals(command.operation())
                        && step.operator().equals(command.operator())
                        && step.kind() == command.kind());
    }

    /**
     * Returns a copy of this row in another state.
     *
     * @param newState the name of the state
     * @return the changed row
     */
    public ChangeRow withState(String newState) {
        return new ChangeRow(id, newState, base, content, author, organisation, approvals, steps, operation);
    }

    /**
     * Returns a copy of this row with one more step.
     *
     * @param step the step to append; its operation becomes that of the row
     * @return the changed row
     */
    public ChangeRow withStep(ChangeStep step) {
        List<ChangeStep> newSteps = new ArrayList<>(steps);
        newSteps.add(step);
        return new ChangeRow(id, state, base, content, author, organisation, approvals, newSteps, step.operation());
    }

    /**
     * Returns a copy of this row with one more approval.
     *
     * @param approval the approval to append
     * @return the changed row
     */
    public ChangeRow withApproval(Approval approval) {
        List<Approval> newApprovals = new ArrayList<>(approvals);
        newApprovals.add(approval);
        return new ChangeRow(id, state, base, content, author, organisation, newApprovals, steps, operation);
    }

    /**
     * Returns a copy of this row with other content and no approvals.
     *
     * @param newBase the version of the table on which the content is based
     * @param newContent the new content
     * @return the changed row
     */
    public ChangeRow withContent(long newBase, TableContent newContent) {
        return new ChangeRow(id, state, newBase, newContent, author, organisation, List.of(), steps, operation);
    }
}
