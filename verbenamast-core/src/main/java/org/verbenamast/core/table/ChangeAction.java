package org.verbenamast.core.table;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The actions of the chart {@code change}. */
public enum ChangeAction implements Action<ChangeData, ChangeInput> {
    /** Appends the command to the recorded steps. */
    RECORD_STEP {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.withRow(data.row().withStep(input.step()));
        }
    },
    /** Adds the operator's approval of the current content. */
    ADD_APPROVAL {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.withRow(data.row().withApproval(input.approval()));
        }
    },
    /** Replaces the content and drops all approvals. */
    REPLACE_CONTENT {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            ChangeCommand command = input.command();
            return data.withRow(data.row().withContent(command.base(), command.content()));
        }
    },
    /** Refuses the command because the change is based on an older version of the table. */
    REPORT_STALE_BASE {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.withFault(
                    CommandFault.shouldBeBasedOnCurrentVersion(data.row().base(), data.currentVersion()));
        }
    },
    /** Refuses the command because it is not based on the current version of the table. */
    REPORT_STALE_COMMAND {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.withFault(
                    CommandFault.shouldBeBasedOnCurrentVersion(input.command().base(), data.currentVersion()));
        }
    },
    /** Refuses the command because it refers to content other than the current one. */
    REPORT_OTHER_CONTENT {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            ChangeCommand command = input.command();
            ContentHash referenced = command.kind().carriesContent() ? command.replaces() : command.hash();
            return data.withFault(CommandFault.shouldReferToCurrentContent(
                    referenced, data.row().content().hash()));
        }
    },
    /** Refuses the command because the operator's organisation has already approved the content. */
    REPORT_ALREADY_SIGNED {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.withFault(CommandFault.shouldBeSignedByOtherOrganisation(
                    input.operator().organisation()));
        }
    },
    /** Refuses the command because only the other organisation may issue it. */
    REPORT_WRONG_ORGANISATION {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            boolean withdraws = input.command().kind() == ChangeCommandKind.WITHDRAW;
            String expected = withdraws ? "the author's organisation" : "the other organisation";
            return data.withFault(
                    CommandFault.shouldComeFrom(expected, input.operator().organisation()));
        }
    }
}
