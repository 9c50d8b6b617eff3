package org.verbenamast.core.table;

import org.verbenamast.core.chart.Guard;

/** The conditions in the chart of a change of the table. */
public enum ChangeGuard implements Guard<ChangeData, ChangeInput> {
    /** The table has moved on since the version on which the change stands. */
    BASE_IS_STALE {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return data.row().base() < data.present();
        }
    },
    /** The command stands on another version of the table than the one in force. */
    COMMAND_IS_STALE {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return input.command().base() != data.present();
        }
    },
    /** The approval is not for the present content, or not for the version on which it stands. */
    SIGNS_OTHER_CONTENT {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return !input.command().hash().equals(data.row().content().hash())
                    || input.command().base() != data.row().base();
        }
    },
    /** The edit was made from other content than the present one. */
    REPLACES_OTHER_CONTENT {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return !input.command().replaces().equals(data.row().content().hash());
        }
    },
    /** The operator's organisation has signed off the present content already. */
    ORGANISATION_HAS_SIGNED {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return data.row().approvals().stream().anyMatch(approval -> approval.organisation()
                    .equals(input.operator().organisation()));
        }
    },
    /** The operator is of the author's organisation. */
    OWN_ORGANISATION {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return data.row().organisation().equals(input.operator().organisation());
        }
    }
}
