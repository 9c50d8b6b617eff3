package org.verbenamast.core.chart.file;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.verbenamast.core.chart.Action;
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartState;
import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.chart.Transition;
import org.verbenamast.core.chart.Vocabulary;

/**
 * Loads charts from JSON files and checks them, so that a faulty chart is found when the process starts.
 *
 * <pre>{@code
 * Chart<RequestEvent, RequestData, RequestInput> chart = ChartReader.bundled("request", RequestChart.VOCABULARY);
 * }</pre>
 */
public final class ChartReader {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ChartReader() {}

    /**
     * Loads and checks a chart that ships with the program.
     *
     * @param name the file's name below {@code charts/}, without the extension
     * @param vocabulary the enums whose constants the file may name
     * @param <E> the type of the events
     * @param <G> the type of the guards
     * @param <A> the type of the actions
     * @param <K> the type of the timers
     * @param <T> the type of the tags
     * @param <D> the type of the instances' data
     * @param <I> the type of the events' input
     * @return the chart
     * @throws ChartException where the file is missing or has faults
     */
    public static <
                    E extends Enum<E>,
                    G extends Enum<G> & Guard<D, I>,
                    A extends Enum<A> & Action<D, I>,
                    K extends Enum<K> & TimerRule<E, D>,
                    T extends Enum<T>,
                    D,
                    I>
            Chart<E, D, I> bundled(String name, Vocabulary<E, G, A, K, T> vocabulary) {
        Either<List<ChartFault>, Chart<E, D, I>> read = read(name, textOf(name), vocabulary);
        return read.getOrElseThrow(ChartException::new);
    }

    /**
     * Reads the file of a chart that ships with the program, without resolving its names.
     *
     * @param name the file's name below {@code charts/}, without the extension
     * @return the file's content
     * @throws ChartException where the file is missing or is not a valid chart file
     */
    public static ChartFile file(String name) {
        try {
            return MAPPER.readValue(textOf(name), ChartFile.class);
        } catch (JsonProcessingException e) {
            throw new ChartException(List.of(ChartFault.shouldBeReadable(name, e.getMessage())));
        }
    }

    private static String textOf(String name) {
        try (InputStream in = ChartReader.class.getResourceAsStream("/charts/" + name + ".json")) {
            if (in == null) {
                throw new ChartException(
                        List.of(ChartFault.shouldBeReadable(name, "there is no resource of this name below charts/")));
            }
            return new String(in.readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new ChartException(List.of(ChartFault.shouldBeReadable(name, e.toString())));
        }
    }

    /**
     * Loads and checks a chart from a JSON text.
     *
     * @param name the chart name of a fault where the text itself can't be parsed
     * @param json the content of a chart file
     * @param vocabulary the enums whose constants the file may name
     * @param <E> the type of the events
     * @param <G> the type of the guards
     * @param <A> the type of the actions
     * @param <K> the type of the timers
     * @param <T> the type of the tags
     * @param <D> the type of the instances' data
     * @param <I> the type of the events' input
     * @return the chart, or all faults found
     */
    public static <
                    E extends Enum<E>,
                    G extends Enum<G> & Guard<D, I>,
                    A extends Enum<A> & Action<D, I>,
                    K extends Enum<K> & TimerRule<E, D>,
                    T extends Enum<T>,
                    D,
                    I>
            Either<List<ChartFault>, Chart<E, D, I>> read(
                    String name, String json, Vocabulary<E, G, A, K, T> vocabulary) {
        ChartFile file;
        try {
            file = MAPPER.readValue(json, ChartFile.class);
        } catch (JsonProcessingException e) {
            return Either.left(List.of(ChartFault.shouldBeReadable(name, e.getOriginalMessage())));
        }
        List<ChartFault> faults = new ChartChecks(file, vocabulary).faults();
        return faults.isEmpty() ? Either.right(resolve(file, vocabulary)) : Either.left(faults);
    }

    private static <
                    E extends Enum<E>,
                    G extends Enum<G> & Guard<D, I>,
                    A extends Enum<A> & Action<D, I>,
                    K extends Enum<K> & TimerRule<E, D>,
                    T extends Enum<T>,
                    D,
                    I>
            Chart<E, D, I> resolve(ChartFile file, Vocabulary<E, G, A, K, T> vocabulary) {
        List<ChartState> states = statesOf(file, vocabulary);
        List<Transition<D, I>> transitions = new ArrayList<>();
        for (ChartFile.StateEntry state : file.states()) {
            for (ChartFile.TransitionEntry entry : state.on()) {
                transitions.add(transitionOf(find(states, state.name()), entry, states, vocabulary));
            }
        }
        return new Chart<>(
                file.chart(),
                file.about(),
                find(states, file.initial()),
                states,
                Arrays.asList(vocabulary.events().getEnumConstants()),
                List.<TimerRule<E, D>>copyOf(Arrays.asList(vocabulary.timers().getEnumConstants())),
                transitions);
    }

    private static <
                    E extends Enum<E>,
                    G extends Enum<G> & Guard<D, I>,
                    A extends Enum<A> & Action<D, I>,
                    K extends Enum<K>,
                    T extends Enum<T>,
                    D,
                    I>
            Transition<D, I> transitionOf(
                    ChartState from,
                    ChartFile.TransitionEntry entry,
                    List<ChartState> states,
                    Vocabulary<E, G, A, K, T> vocabulary) {
        int event = Enum.valueOf(vocabulary.events(), entry.event()).ordinal();
        Guard<D, I> guard = entry.when().isEmpty() ? null : Enum.valueOf(vocabulary.guards(), entry.when());
        ChartState to = entry.to().isEmpty() ? null : find(states, entry.to());
        List<Action<D, I>> actions = new ArrayList<>();
        entry.actions().forEach(action -> actions.add(Enum.valueOf(vocabulary.actions(), action)));
        return new Transition<>(from, event, entry.when(), guard, to, actions);
    }

    private static List<ChartState> statesOf(ChartFile file, Vocabulary<?, ?, ?, ?, ?> vocabulary) {
        List<ChartState> states = new ArrayList<>();
        for (ChartFile.StateEntry state : file.states()) {
            long tagBits = 0;
            for (int tag : ordinals(vocabulary.tags(), state.tags())) {
                tagBits |= 1L << tag;
            }
            List<Integer> starts = ordinals(vocabulary.timers(), state.starts());
            List<Integer> cancels = ordinals(vocabulary.timers(), state.cancels());
            states.add(
                    new ChartState(states.size(), state.name(), state.about(), state.last(), tagBits, starts, cancels));
        }
        return states;
    }

    private static List<Integer> ordinals(Class<? extends Enum<?>> type, List<String> names) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> names.contains(constant.name()))
                .map(Enum::ordinal)
                .toList();
    }

    private static ChartState find(List<ChartState> states, String name) {
        return states.stream()
                .filter(state -> state.name().equals(name))
                .findFirst()
                .orElseThrow();
    }
}
