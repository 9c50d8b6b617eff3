package org.verbenamast.core.table;

import org.verbenamast.core.chart.Guard;

/** The guards of the chart {@code change}. */
public enum ChangeGuard implements Guard<ChangeData, ChangeInput> {
    /** The change is based on an older version of the table than the one in force. */
    BASE_IS_STALE {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return data.row().base() < data.currentVersion();
        }
    },
    /** The command is based on a version of the table other than the one in force. */
    COMMAND_IS_STALE {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return input.command().base() != data.currentVersion();
        }
    },
    /** The approval refers to other content than the current one, or to another base version. */
    SIGNS_OTHER_CONTENT {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return !input.command().hash().equals(data.row().content().hash())
                    || input.command().base() != data.row().base();
        }
    },
    /** The edit replaces other content than the current one. */
    REPLACES_OTHER_CONTENT {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return !input.command().replaces().equals(data.row().content().hash());
        }
    },
    /** The operator's organisation has already approved the current content. */
    ORGANISATION_HAS_SIGNED {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return data.row().approvals().stream().anyMatch(approval -> approval.organisation()
                    .equals(input.operator().organisation()));
        }
    },
    /** The operator belongs to the author's organisation. */
    OWN_ORGANISATION {
        @Override
        public boolean permits(ChangeData data, ChangeInput input, long now) {
            return data.row().organisation().equals(input.operator().organisation());
        }
    }
}
