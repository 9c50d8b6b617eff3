package org.verbenamast.core.backend;

import java.util.Objects;

/**
 * The data of a notice of the backend server in chart {@code notice-request}.
 *
 * @param callId the number of the call, which identifies the answer
 * @param notice the notice
 */
public record NoticeData(long callId, ServerNotice notice) {

    /** Checks the notice. */
    public NoticeData {
        Objects.requireNonNull(notice, "notice");
    }
}
