package org.verbenamast.core.chart;

import java.util.Objects;

/**
 * The names that a chart file may use: its events, guards, actions, timers and tags are constants of these enums.
 *
 * @param events the events
 * @param guards the guards
 * @param actions the actions
 * @param timers the timers
 * @param tags the tags, by which code recognizes groups of states
 * @param <E> the type of the events
 * @param <G> the type of the guards
 * @param <A> the type of the actions
 * @param <K> the type of the timers
 * @param <T> the type of the tags
 */
public record Vocabulary<E extends Enum<E>, G extends Enum<G>, A extends Enum<A>, K extends Enum<K>, T extends Enum<T>>(
        Class<E> events, Class<G> guards, Class<A> actions, Class<K> timers, Class<T> tags) {

    /** Checks that no component is null. */
    public Vocabulary {
        Objects.requireNonNull(events, "events");
        Objects.requireNonNull(guards, "guards");
        Objects.requireNonNull(actions, "actions");
        Objects.requireNonNull(timers, "timers");
        Objects.requireNonNull(tags, "tags");
    }
}
