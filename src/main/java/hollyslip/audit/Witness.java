package hollyslip.audit;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SequenceWriter;
import hollyslip.standin.Command;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Reads and writes the records of a run in a directory: {@code figures.json} with the parameters of the
 * rules, and with one JSON value per line {@code asked-*.jsonl} of clients, {@code commands-*.jsonl} of disk
 * servers and {@code told-*.jsonl} of the operator. */
public final class Witness {
  /** Adds the kind of event to each line. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "told")
  @JsonSubTypes({@JsonSubTypes.Type(value = Told.State.class, name = "state"),
      @JsonSubTypes.Type(value = Told.Born.class, name = "born"),
      @JsonSubTypes.Type(value = Told.Started.class, name = "started")})
  private interface OperatorEventMixin {}

  private static final ObjectMapper JSON = new ObjectMapper().addMixIn(Told.class, OperatorEventMixin.class);

  private Witness() {}

  private static <T> void write(Path file, Class<T> type, List<T> values) throws IOException {
    try (SequenceWriter writer = JSON.writerFor(type)
        .withRootValueSeparator("\n")
        .writeValues(file.toFile())) {
      writer.writeAll(values);
    }
  }

  private static <T> List<T> readAll(Path dir, String prefix, Class<T> type) throws IOException {
    List<T> values = new ArrayList<>();
    List<Path> files;
    try (Stream<Path> entries = Files.list(dir)) {
      files = entries.filter(file -> file.getFileName().toString().matches(prefix + "-.*\\.jsonl"))
          .sorted()
          .toList();
    }
    for (Path file : files) {
      try (MappingIterator<T> lines = JSON.readerFor(type).readValues(file.toFile())) {
        lines.forEachRemaining(values::add);
      } catch (IOException | RuntimeException e) {
        throw new IOException(file.getFileName() + ": record " + (values.size() + 1) + ": " + e.getMessage(),
            e);
      }
    }
    return values;
  }

  public static void writeRequests(Path dir, String client, List<Asked> requests) throws IOException {
    write(dir.resolve("asked-" + client + ".jsonl"), Asked.class, requests);
  }

  public static void writeCommands(Path dir, String server, List<Command> commands) throws IOException {
    write(dir.resolve("commands-" + server + ".jsonl"), Command.class, commands);
  }

  public static void writeOperatorEvents(Path dir, String operator, List<Told> events) throws IOException {
    write(dir.resolve("told-" + operator + ".jsonl"), Told.class, events);
  }

  public static void writeParameters(Path dir, Figures parameters) throws IOException {
    JSON.writeValue(dir.resolve("figures.json").toFile(), parameters);
  }

  /** Audits the records in a directory.
   *
   * @throws IOException
   *           if a record cannot be read; the message names the file and the record */
  public static Auditor.Report audit(Path dir) throws IOException {
    Figures parameters = JSON.readValue(dir.resolve("figures.json").toFile(), Figures.class);
    return Auditor.check(parameters, readAll(dir, "asked", Asked.class),
        readAll(dir, "commands", Command.class), readAll(dir, "told", Told.class));
  }
}
