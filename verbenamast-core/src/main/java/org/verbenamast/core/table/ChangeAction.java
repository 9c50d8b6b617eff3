package org.verbenamast.core.table;

import org.verbenamast.core.chart.Action;
import org.verbenamast.core.effect.Effects;

/** The steps in the chart of a change of the table. */
public enum ChangeAction implements Action<ChangeData, ChangeInput> {
    /** Notes the command among the steps. */
    NOTE_STEP {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.with(data.row().withStep(input.step()));
        }
    },
    /** Adds the operator's approval. */
    ADD_APPROVAL {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.with(data.row().withApproval(input.approval()));
        }
    },
    /** Replaces the content, which takes all approvals away. */
    REPLACE_CONTENT {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            ChangeCommand command = input.command();
            return data.with(data.row().withContent(command.base(), command.content()));
        }
    },
    /** Refuses the command since the change stands on an earlier version of the table. */
    REPORT_STALE_BASE {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.refused(
                    CommandFault.shouldStandOnPresentVersion(data.row().base(), data.present()));
        }
    },
    /** Refuses the command since it stands on an earlier version of the table. */
    REPORT_STALE_COMMAND {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.refused(
                    CommandFault.shouldStandOnPresentVersion(input.command().base(), data.present()));
        }
    },
    /** Refuses the command since the content is another one now. */
    REPORT_OTHER_CONTENT {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            ChangeCommand command = input.command();
            ContentHash meant = command.kind().carriesContent() ? command.replaces() : command.hash();
            return data.refused(CommandFault.shouldBeForPresentContent(
                    meant, data.row().content().hash()));
        }
    },
    /** Refuses the command since the organisation has signed off already. */
    REPORT_ALREADY_SIGNED {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            return data.refused(CommandFault.shouldBeSignedByOtherOrganisation(
                    input.operator().organisation()));
        }
    },
    /** Refuses the command since it is for the other organisation to give. */
    REPORT_WRONG_ORGANISATION {
        @Override
        public ChangeData apply(ChangeData data, ChangeInput input, long now, Effects effects) {
            boolean withdraws = input.command().kind() == ChangeCommandKind.WITHDRAW;
            String who = withdraws ? "the author's organisation" : "the other organisation";
            return data.refused(
                    CommandFault.shouldComeFrom(who, input.operator().organisation()));
        }
    }
}
