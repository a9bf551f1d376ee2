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

/** Records of a run in a folder, one JSON value a line: {@code figures.json}, {@code asked-*.jsonl} of
 * clients, {@code commands-*.jsonl} of disk servers, {@code told-*.jsonl} of the operator. */
public final class Witness {
  /** Says in the lines which kind of order one is. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "told")
  @JsonSubTypes({@JsonSubTypes.Type(value = Told.State.class, name = "state"),
      @JsonSubTypes.Type(value = Told.Born.class, name = "born"),
      @JsonSubTypes.Type(value = Told.Started.class, name = "started")})
  private interface OperatorEventMixin {}

  private static final ObjectMapper JSON = new ObjectMapper().addMixIn(Told.class, OperatorEventMixin.class);

  private Witness() {}

  private static <T> void write(Path file, Class<T> type, List<T> all) throws IOException {
    try (SequenceWriter w = JSON.writerFor(type).withRootValueSeparator("\n").writeValues(file.toFile())) {
      w.writeAll(all);
    }
  }

  private static <T> List<T> readAll(Path dir, String prefix, Class<T> type) throws IOException {
    List<T> all = new ArrayList<>();
    List<Path> files;
    try (Stream<Path> found = Files.list(dir)) {
      files = found.filter(f -> f.getFileName().toString().matches(prefix + "-.*\\.jsonl")).sorted().toList();
    }
    for (Path f : files) {
      try (MappingIterator<T> i = JSON.readerFor(type).readValues(f.toFile())) {
        i.forEachRemaining(all::add);
      } catch (IOException | RuntimeException e) {
        throw new IOException(f.getFileName() + ": record " + (all.size() + 1) + ": " + e.getMessage(), e);
      }
    }
    return all;
  }

  public static void asked(Path dir, String who, List<Asked> all) throws IOException {
    write(dir.resolve("asked-" + who + ".jsonl"), Asked.class, all);
  }

  public static void commands(Path dir, String who, List<Command> all) throws IOException {
    write(dir.resolve("commands-" + who + ".jsonl"), Command.class, all);
  }

  public static void told(Path dir, String who, List<Told> all) throws IOException {
    write(dir.resolve("told-" + who + ".jsonl"), Told.class, all);
  }

  public static void figures(Path dir, Figures figures) throws IOException {
    JSON.writeValue(dir.resolve("figures.json").toFile(), figures);
  }

  /** Audits what a folder holds.
   *
   * @throws IOException
   *           a record cannot be read; names the file and the record */
  public static Auditor.Report audit(Path dir) throws IOException {
    Figures figures = JSON.readValue(dir.resolve("figures.json").toFile(), Figures.class);
    return Auditor.check(figures, readAll(dir, "asked", Asked.class), readAll(dir, "commands", Command.class),
        readAll(
            dir, "told", Told.class));
  }
}
