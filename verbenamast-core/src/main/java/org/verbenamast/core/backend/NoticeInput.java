package org.verbenamast.core.backend;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.keys.KeyGrant;

/**
 * The input of an event of chart {@code notice-request}.
 *
 * @param recorded whether what the notice announces outlives this process
 * @param grant the keys that are granted to the server
 * @param rejection the reason why the notice is not confirmed, or empty if it may be
 */
public record NoticeInput(boolean recorded, Optional<KeyGrant> grant, Optional<NoticeRejection> rejection) {

    /** The input of a notice that expires or that is to be recorded. */
    static final NoticeInput NOT_RECORDED = rejected(NoticeRejection.NOT_RECORDED);

    /** Checks that no component is null. */
    public NoticeInput {
        Objects.requireNonNull(grant, "grant");
        Objects.requireNonNull(rejection, "rejection");
    }

    static NoticeInput recorded(Optional<KeyGrant> grant) {
        return new NoticeInput(true, grant, Optional.empty());
    }

    static NoticeInput rejected(NoticeRejection reason) {
        return new NoticeInput(false, Optional.empty(), Optional.of(reason));
    }
}
