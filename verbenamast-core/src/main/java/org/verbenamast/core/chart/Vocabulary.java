package org.verbenamast.core.chart;

import java.util.Objects;

/**
 * The enums whose constants a chart file may name.
 *
 * @param events the events
 * @param guards the guards
 * @param actions the actions
 * @param timers the timers
 * @param tags the tags that mark states for the program
 * @param <E> the type of the events
 * @param <G> the type of the guards
 * @param <A> the type of the actions
 * @param <K> the type of the timers
 * @param <T> the type of the tags
 */
public record Vocabulary<E extends Enum<E>, G extends Enum<G>, A extends Enum<A>, K extends Enum<K>, T extends Enum<T>>(
        Class<E> events, Class<G> guards, Class<A> actions, Class<K> timers, Class<T> tags) {

    /** Checks that each enum is given. */
    public Vocabulary {
        Objects.requireNonNull(events, "events");
        Objects.requireNonNull(guards, "guards");
        Objects.requireNonNull(actions, "actions");
        Objects.requireNonNull(timers, "timers");
        Objects.requireNonNull(tags, "tags");
    }
}
