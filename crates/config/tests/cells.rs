//! The distribution of partitions over cells.

use model::Partition;
use papayarill_config::{Service, ServiceBuilder};

fn service(backend_servers: u32, partitions: u32) -> Service {
    ServiceBuilder::new("s")
        .backend_servers(backend_servers)
        .partitions(partitions)
        .slots(1)
        .connections(1)
        .build()
        .expect("a valid service")
}

#[test]
fn a_cell_has_at_most_32_backend_servers() {
    let check = |backend_servers: u32, cells: u32| {
        assert_eq!(service(backend_servers, 1_024).cell_count(), cells);
    };
    check(1, 1);
    check(32, 1);
    check(33, 2);
    check(64, 2);
    check(65, 3);
    check(1_000, 32);
}

#[test]
fn each_partition_belongs_to_exactly_the_cell_whose_range_contains_it() {
    for (backend_servers, partitions) in [(1, 1), (6, 64), (33, 33), (100, 1_000), (999, 4_099)] {
        let service = service(backend_servers, partitions);
        let mut expected_first = 0;
        let mut sizes = Vec::new();
        for index in 0..service.cell_count() {
            let (first, end) = service.cell_partitions(index);
            assert_eq!(first.0, expected_first);
            for partition in first.0..end.0 {
                assert_eq!(service.cell_of(Partition(partition)).index, index);
            }
            sizes.push(end.0 - first.0);
            expected_first = end.0;
        }
        assert_eq!(expected_first, partitions);
        let difference = sizes.iter().max().zip(sizes.iter().min()).map(|(max, min)| max - min);
        assert!(difference <= Some(1), "{sizes:?}");
    }
}

#[test]
fn a_partition_number_out_of_range_maps_to_the_last_cell() {
    assert_eq!(service(64, 64).cell_of(Partition(u32::MAX)).index, 1);
}
