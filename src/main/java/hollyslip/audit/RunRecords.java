package hollyslip.audit;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SequenceWriter;
import hollyslip.standin.CommandRecord;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Reads and writes the records of a run in a directory: {@code figures.json} with the parameters of the
 * rules, and with one JSON value per line {@code asked-*.jsonl} of clients, {@code commands-*.jsonl} of disk
 * servers and {@code told-*.jsonl} of the operator. */
public final class RunRecords {
  /** Adds the kind of event to each line. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "told")
  @JsonSubTypes({@JsonSubTypes.Type(value = OperatorEvent.NodeStateChange.class, name = "state"),
      @JsonSubTypes.Type(value = OperatorEvent.NodeStart.class, name = "born"),
      @JsonSubTypes.Type(value = OperatorEvent.GatewayStart.class, name = "started")})
  private interface OperatorEventMixin {}

  private static final ObjectMapper JSON = new ObjectMapper().addMixIn(OperatorEvent.class,
      OperatorEventMixin.class);

  private RunRecords() {}

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

  public static void writeRequests(Path dir, String client, List<RequestRecord> requests) throws IOException {
    write(dir.resolve("asked-" + client + ".jsonl"), RequestRecord.class, requests);
  }

  public static void writeCommands(Path dir, String server, List<CommandRecord> commands) throws IOException {
    write(dir.resolve("commands-" + server + ".jsonl"), CommandRecord.class, commands);
  }

  public static void writeOperatorEvents(Path dir, String operator, List<OperatorEvent> events)
      throws IOException {
    write(dir.resolve("told-" + operator + ".jsonl"), OperatorEvent.class, events);
  }

  public static void writeParameters(Path dir, AuditParameters parameters) throws IOException {
    JSON.writeValue(dir.resolve("figures.json").toFile(), parameters);
  }

  /** Audits the records in a directory.
   *
   * @throws IOException
   *           if a record cannot be read; the message names the file and the record */
  public static Auditor.Report audit(Path dir) throws IOException {
    AuditParameters parameters = JSON.readValue(dir.resolve("figures.json").toFile(), AuditParameters.class);
    return Auditor.check(parameters, readAll(dir, "asked", RequestRecord.class),
        readAll(dir, "commands", CommandRecord.class), readAll(dir, "told", OperatorEvent.class));
  }
}
