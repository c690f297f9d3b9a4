import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** One session of a client. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final BufferedReader reader;

    /** Opens the session; fails if READY takes more than 2 s. */
    Client(int port, String database) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(2_000);
        reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        send("START " + database + " u1");
        String line = reader.readLine();
        if (line == null || !line.startsWith("READY")) {
            socket.close();
            throw new IOException("session refused: " + line);
        }
    }

    private void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Sends a statement. Returns DONE or ERROR with its fields, "late" after the time budget, or "cut". */
    String query(String id, String text, int budgetMs) {
        try {
            send("QUERY " + id + " " + text);
            socket.setSoTimeout(budgetMs);
            String result = null;
            while (true) {
                String line = reader.readLine();
                if (line == null) return "cut";
                if (line.startsWith("READY")) return result;
                if (!line.startsWith("ROW")) result = line;
            }
        } catch (SocketTimeoutException e) {
            return "late";
        } catch (IOException e) {
            return "cut";
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
